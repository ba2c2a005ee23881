"""Limits on the memory that all requests of a process take together."""

import attrs


@attrs.define(eq=False)
class ByteBudget:
    """Number of bytes that may be kept at the same time.

    Attributes:
        limit_bytes: Largest number of bytes.
        used_bytes: Bytes that are reserved.
    """

    limit_bytes: int
    used_bytes: int = 0

    def reserve(self) -> "Reservation":
        """Returns a reservation that is still empty."""
        return Reservation(self)


@attrs.define(eq=False)
class Reservation:
    """Part of a budget; a context manager that releases it at its end.

    Attributes:
        budget: Budget that it is a part of.
        reserved_bytes: Size of the part, in bytes.
    """

    budget: ByteBudget
    reserved_bytes: int = 0

    def grow(self, count: int) -> bool:
        """Reserves bytes that were received; returns whether more may follow.

        Args:
            count: Number of bytes.
        """
        self.reserved_bytes += count
        self.budget.used_bytes += count
        return self.budget.used_bytes <= self.budget.limit_bytes

    def release(self) -> None:
        """Returns all reserved bytes to the budget."""
        self.budget.used_bytes -= self.reserved_bytes
        self.reserved_bytes = 0

    def __enter__(self) -> "Reservation":
        return self

    def __exit__(self, *details: object) -> None:
        self.release()
