"""Request bodies: strict decoding, limited memory and replay."""

from collections.abc import Callable
import enum
import re

from mulberrydeck.forward import budgets
from mulberrydeck.frontend import buffered_connection as buffered
from mulberrydeck.frontend import heads

MAX_REPLAY_BYTES = 64 * 1024
MAX_CHUNK_LINE_BYTES = 1024
MAX_TRAILER_BYTES = 16 * 1024
CRLF = b"\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})(?:[ \t]*;[^\x00-\x1f\x7f]*)?")
_TRAILER = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*"
)


class LengthReader:
    """Reads a body of known length.

    Attributes:
        remaining_bytes: Number of bytes not yet read.
    """

    def __init__(
        self, connection: buffered.BufferedConnection, length: int
    ) -> None:
        self.connection = connection
        self.remaining_bytes = length

    @property
    def finished(self) -> bool:
        """Whether the body was read to its end."""
        return self.remaining_bytes == 0

    def read(self) -> bytes:
        """Returns the next piece; empty at the end of the body.

        Raises:
            buffered.ConnectionLostError: The connection failed or ended.
        """
        if self.remaining_bytes == 0:
            return b""
        piece = _take(self.connection, self.remaining_bytes)
        self.remaining_bytes -= len(piece)
        return piece


class ChunkPart(enum.Enum):
    """Part of the chunked coding that is read next."""

    SIZE = enum.auto()
    DATA = enum.auto()
    DATA_END = enum.auto()
    TRAILERS = enum.auto()


class ChunkedReader:
    """Reads a chunked body; trailers are validated and discarded.

    Attributes:
        finished: Whether the body was read to its end.
    """

    def __init__(self, connection: buffered.BufferedConnection) -> None:
        self.connection = connection
        self.finished = False
        # Progress is kept here, since a read can be cancelled while it waits.
        self.next_part = ChunkPart.SIZE
        self.chunk_remaining_bytes = 0
        self.trailers_remaining_bytes = MAX_TRAILER_BYTES
        self.decoded_pieces: list[bytes] = []

    def read(self) -> bytes:
        """Returns the next piece; empty at the end of the body.

        Raises:
            buffered.ConnectionLostError: The connection failed or ended.
            heads.BadRequestError: The chunked coding is malformed.
        """
        while not self.finished:
            self._read_part()
            if self.decoded_pieces and not self.connection.has_unread:
                break
        decoded = b"".join(self.decoded_pieces)
        self.decoded_pieces.clear()
        return decoded

    def _read_part(self) -> None:
        """Reads the next part of the coding; trailers end the body."""
        match self.next_part:
            case ChunkPart.SIZE:
                self.chunk_remaining_bytes = self._read_size()
                is_last = self.chunk_remaining_bytes == 0
                self.next_part = (
                    ChunkPart.TRAILERS if is_last else ChunkPart.DATA
                )
            case ChunkPart.DATA:
                piece = _take(self.connection, self.chunk_remaining_bytes)
                self.decoded_pieces.append(piece)
                self.chunk_remaining_bytes -= len(piece)
                if self.chunk_remaining_bytes == 0:
                    self.next_part = ChunkPart.DATA_END
            case ChunkPart.DATA_END:
                if self._read_line(0) != b"":
                    raise heads.BadRequestError("A chunk does not end in CRLF.")
                self.next_part = ChunkPart.SIZE
            case ChunkPart.TRAILERS:
                self._read_trailers()

    def _read_line(self, limit: int) -> bytes:
        line = self.connection.take_until(CRLF, limit)
        if b"\n" in line or b"\r" in line:
            raise heads.BadRequestError("Every line must end in CRLF.")
        return line

    def _read_size(self) -> int:
        line = self._read_line(MAX_CHUNK_LINE_BYTES)
        matched = _CHUNK_LINE.fullmatch(line)
        if matched is None:
            raise heads.BadRequestError("A chunk size is malformed.")
        return int(matched.group(1), 16)

    def _read_trailers(self) -> None:
        while line := self._read_line(MAX_TRAILER_BYTES):
            self.trailers_remaining_bytes -= len(line)
            too_large = self.trailers_remaining_bytes < 0
            if too_large or _TRAILER.fullmatch(line) is None:
                raise heads.BadRequestError("A trailer is malformed.")
        self.finished = True


def _take(connection: buffered.BufferedConnection, limit: int) -> bytes:
    data = connection.take(limit)
    if not data:
        raise buffered.ConnectionLostError("connection closed within a body")
    return data


class Body:
    """A request body; a small one is kept in memory for replay.

    Attributes:
        length: Declared length in bytes; None if chunked.
        read_bytes: Number of bytes read from the caller so far.
        max_kept_bytes: Size of the largest body kept for replay, in bytes.
        replayable: Whether all bytes read so far can be sent again.
        reservation: Memory of the kept pieces, or None.
    """

    def __init__(
        self,
        reader: LengthReader | ChunkedReader,
        length: int | None,
        before_read: Callable[[], None] | None = None,
    ) -> None:
        """Wraps a reader.

        Args:
            reader: Source of the body bytes.
            length: Declared length in bytes; None if chunked.
            before_read: Called once before the first byte is read.
        """
        self.reader = reader
        self.length = length
        self.before_read = before_read
        self.kept_pieces: list[bytes] = []
        self.read_bytes = 0
        self.max_kept_bytes = MAX_REPLAY_BYTES
        self.replayable = True
        self.reservation: budgets.Reservation | None = None

    @property
    def finished(self) -> bool:
        """Whether the body was read from the caller to its end."""
        return self.reader.finished

    def _fits_replay_limit(self) -> bool:
        size = self.read_bytes if self.length is None else self.length
        return size <= self.max_kept_bytes

    def load(self) -> None:
        """Reads the body to its end."""
        while self.read_next():
            pass

    def read_ahead(self, limit: int, reservation: budgets.Reservation) -> None:
        """Reads the body until its end or until it exceeds a limit.

        All bytes are kept until the body is sent.

        Args:
            limit: Size of the largest body that is read to its end, in bytes.
            reservation: Memory of this body; it is read no further once the
                budget of all bodies is exceeded.
        """
        self.max_kept_bytes = limit
        self.reservation = reservation
        if (self.length or 0) > limit:
            return
        while self.read_bytes <= limit:
            piece = self._read()
            self.kept_pieces.append(piece)
            if not piece:
                return
            reservation.record_progress()
            if not reservation.grow(len(piece)) and not self.finished:
                # The rest is read while the body is sent, and is not kept.
                self.max_kept_bytes = 0
                return

    def pieces(self) -> "Pieces":
        """Returns an iterator over the body from its first byte."""
        return Pieces(self)

    def read_next(self) -> bytes:
        """Returns the next piece from the caller; empty at the end.

        Once the body exceeds what is kept for replay, the kept pieces are
        discarded; they must have been sent before.
        """
        piece = self._read()
        if not piece or self._fits_replay_limit():
            self.kept_pieces.append(piece)
        else:
            self.kept_pieces.clear()
            self.replayable = False
            if self.reservation is not None:
                self.reservation.release()
        return piece

    def _read(self) -> bytes:
        if self.before_read is not None:
            self.before_read()
            self.before_read = None
        piece = self.reader.read()
        self.read_bytes += len(piece)
        return piece


class Pieces:
    """Iterator over a body: pieces kept for replay, then those not yet read."""

    def __init__(self, body: Body) -> None:
        self.body = body
        self.position = 0

    def __iter__(self) -> "Pieces":
        return self

    def __next__(self) -> bytes:
        body = self.body
        if self.position < len(body.kept_pieces):
            piece = body.kept_pieces[self.position]
            self.position += 1
        else:
            piece = body.read_next()
            self.position = len(body.kept_pieces)
        if not piece:
            raise StopIteration
        return piece
