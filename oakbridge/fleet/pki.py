"""The fleet's own certificate authority: made once, it signs agents' and operators' certificates.

Keys are P-256; files are PEM, keys owner-only.  A certificate says whom it speaks for in one URI (see ``wire``).
"""

from __future__ import annotations

import datetime
import os
import ssl
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from oakbridge.fleet.wire import Identity

AUTHORITY_DAYS, DAYS = 3650, 397
BACKDATED = datetime.timedelta(minutes=5)  # clocks of hosts differ a little


class PkiError(Exception):
    """A certificate or key can't be made or used; the text says why."""


def _write(path: Path, data: bytes, secret: bool) -> None:
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600 if secret else 0o644)
    with open(fd, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


def _beside(stem: Path, ending: str) -> Path:
    """Names have dots: an ending is added, never put in the place of one."""
    return stem.parent / (stem.name + ending)


def _pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )  # fmt: skip


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text[:64])])


def _builder(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePublicKey, days: float
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - BACKDATED)
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def make_authority(folder: Path, fleet: str) -> None:
    """Make ``ca.crt`` and ``ca.key``.  Raises :class:`PkiError` where there is one already."""
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    key = ec.generate_private_key(ec.SECP256R1())
    name = _name(f"oakbridge fleet {fleet}")
    certificate = (
        _builder(name, name, key.public_key(), AUTHORITY_DAYS)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(
            x509.KeyUsage(False, False, False, False, False, True, True, False, False), critical=True
        )
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .sign(key, hashes.SHA256())
    )  # fmt: skip
    try:
        _write(folder / "ca.key", _pem(key), secret=True)
        _write(folder / "ca.crt", certificate.public_bytes(serialization.Encoding.PEM), secret=False)
    except FileExistsError as e:
        raise PkiError(
            f"{e.filename}: there is one already, and what it signed would be worth nothing"
        ) from None


def issue(folder: Path, who: Identity, stem: Path, days: float = DAYS) -> None:
    """Sign a certificate for somebody: ``STEM.crt`` and ``STEM.key``.  Raises :class:`PkiError`."""
    try:
        authority = x509.load_pem_x509_certificate((folder / "ca.crt").read_bytes())
        signer = serialization.load_pem_private_key((folder / "ca.key").read_bytes(), None)
    except (OSError, ValueError) as e:
        raise PkiError(f"{folder}: expected the fleet's authority: {e}") from None
    if not isinstance(signer, ec.EllipticCurvePrivateKey):
        raise PkiError(f"{folder / 'ca.key'}: expected a key on a curve")
    key = ec.generate_private_key(ec.SECP256R1())
    usage = ExtendedKeyUsageOID.SERVER_AUTH if who.kind == "agent" else ExtendedKeyUsageOID.CLIENT_AUTH
    certificate = (
        _builder(_name(who.name), authority.subject, key.public_key(), days)
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(x509.ExtendedKeyUsage([usage]), critical=False)
        .add_extension(x509.SubjectAlternativeName([x509.UniformResourceIdentifier(who.uri())]), critical=False)
        .add_extension(
            x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key()), critical=False
        )
        .sign(signer, hashes.SHA256())
    )  # fmt: skip
    stem.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
    try:
        _write(_beside(stem, ".key"), _pem(key), secret=True)
        _write(_beside(stem, ".crt"), certificate.public_bytes(serialization.Encoding.PEM), secret=False)
    except FileExistsError as e:
        raise PkiError(f"{e.filename}: there is one already") from None


def days_left(certificate: Path) -> float:
    """For how many days a certificate still holds; below 0 once it has run out.  Raises :class:`PkiError`."""
    try:
        found = x509.load_pem_x509_certificate(certificate.read_bytes())
    except (OSError, ValueError) as e:
        raise PkiError(f"{certificate}: {e}") from None
    return (found.not_valid_after_utc - datetime.datetime.now(datetime.UTC)).total_seconds() / 86_400


def context(authority: Path, stem: Path, server: bool) -> ssl.SSLContext:
    """TLS for one end: it shows its certificate and takes none but the fleet's.  Raises :class:`PkiError`."""
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
    made.minimum_version = ssl.TLSVersion.TLSv1_2
    made.check_hostname = False  # whom a certificate speaks for is its URI, not an address
    made.verify_mode = ssl.CERT_REQUIRED
    try:
        made.load_verify_locations(authority)
        made.load_cert_chain(_beside(stem, ".crt"), _beside(stem, ".key"))
    except (OSError, ssl.SSLError) as e:
        raise PkiError(f"{stem}: {e}") from None
    return made
