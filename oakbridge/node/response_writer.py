"""The bytes of responses."""

from __future__ import annotations

from oakbridge.node.http_framing import Headers

_REASON = {
    200: b"OK", 400: b"Bad Request", 405: b"Method Not Allowed", 408: b"Request Timeout", 409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error", 502: b"Bad Gateway",
    503: b"Service Unavailable",
}  # fmt: skip


def render(status: int, headers: Headers, body: bytes, close: bool, old: bool = False) -> bytes:
    """An answer's bytes; ``old``: for HTTP/1.0, where connections are kept only if both sides say so."""
    return render_head(status, headers, b"content-length: %d" % len(body), close, old) + body


def render_head(status: int, headers: Headers, framing: bytes, close: bool, old: bool = False) -> bytes:
    """An answer's head; ``framing``: the header that says where its body ends, if there is one."""
    lines = [b"HTTP/1.1 %d %s" % (status, _REASON.get(status, b"Answer"))]
    lines += [name + b": " + value for name, value in headers]
    if framing:
        lines.append(framing)
    if close:
        lines.append(b"connection: close")
    elif old:
        lines.append(b"connection: keep-alive")
    return b"\r\n".join(lines) + b"\r\n\r\n"
