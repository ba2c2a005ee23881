"""Request bodies: strict decoding, limited memory and replay."""

from collections.abc import Callable
import re

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


class ChunkedReader:
    """Reads a chunked body; trailers are validated and discarded.

    Attributes:
        finished: Whether the body was read to its end.
    """

    def __init__(self, connection: buffered.BufferedConnection) -> None:
        self.connection = connection
        self.finished = False
        self.chunk_remaining_bytes = 0

    def read(self) -> bytes:
        """Returns the next piece; empty at the end of the body.

        Raises:
            buffered.ConnectionLostError: The connection failed or ended.
            heads.BadRequestError: The chunked coding is malformed.
        """
        pieces: list[bytes] = []
        while not self.finished:
            self._read_chunk(pieces)
            if pieces and not self.connection.has_unread:
                break
        return b"".join(pieces)

    def _read_chunk(self, pieces: list[bytes]) -> None:
        """Appends received bytes of a chunk; the last chunk ends the body."""
        if self.chunk_remaining_bytes == 0:
            self.chunk_remaining_bytes = self._read_size()
        if self.chunk_remaining_bytes == 0:
            self._read_trailers()
            self.finished = True
            return
        piece = _take(self.connection, self.chunk_remaining_bytes)
        pieces.append(piece)
        self.chunk_remaining_bytes -= len(piece)
        if self.chunk_remaining_bytes == 0 and self._read_line(0) != b"":
            raise heads.BadRequestError("A chunk does not end in CRLF.")

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
        remaining_bytes = MAX_TRAILER_BYTES
        while line := self._read_line(MAX_TRAILER_BYTES):
            remaining_bytes -= len(line)
            if remaining_bytes < 0 or _TRAILER.fullmatch(line) is None:
                raise heads.BadRequestError("A trailer is malformed.")


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

    @property
    def finished(self) -> bool:
        """Whether the body was read from the caller to its end."""
        return self.reader.finished

    @property
    def replayable(self) -> bool:
        """Whether all bytes read so far can be sent again."""
        return self.read_bytes == 0 or self._fits_replay_limit()

    def _fits_replay_limit(self) -> bool:
        size = self.read_bytes if self.length is None else self.length
        return size <= self.max_kept_bytes

    def load(self) -> None:
        """Reads the body to its end."""
        while self.read_next():
            pass

    def pieces(self) -> "Pieces":
        """Returns an iterator over the body from its first byte."""
        return Pieces(self)

    def read_next(self) -> bytes:
        """Returns the next piece from the caller; empty at the end."""
        if self.before_read is not None:
            self.before_read()
            self.before_read = None
        piece = self.reader.read()
        self.read_bytes += len(piece)
        if self._fits_replay_limit():
            self.kept_pieces.append(piece)
        else:
            self.kept_pieces.clear()
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
