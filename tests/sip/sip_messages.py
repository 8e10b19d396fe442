"""A valid request, and altered copies of it."""

REQUEST = (
    "OPTIONS sip:desk@10.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 10.1.0.1:6000;branch=z9hG4bK1;rport\r\n"
    "From: <sip:a@b>;tag=1\r\nTo: <sip:desk@10.0.0.1>\r\nCall-ID: c1\r\n"
    "CSeq: 1 OPTIONS\r\nMax-Forwards: 5\r\n\r\n"
)


def altered(*replacements):
    """Return the request's bytes, with each old text replaced by its new one."""
    text = REQUEST
    for old, new in replacements:
        assert old in text
        text = text.replace(old, new)
    return text.encode()
