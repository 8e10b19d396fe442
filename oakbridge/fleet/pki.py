"""The fleet's own certificate authority, and the certificates of agents and operators.

Keys are P-256.  Files are PEM; files of keys are readable by their owner only.  A certificate has
its holder's identity in one URI (see ``identity``).
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

from oakbridge.fleet.errors import PkiError
from oakbridge.fleet.identity import Identity, IdentityKind

AUTHORITY_DAYS = 3650
CERTIFICATE_DAYS = 397
# Certificates are valid from this long before they are issued, because the clocks of hosts may be
# stepped by an hour in either direction.
CLOCK_SKEW = datetime.timedelta(hours=3)
MAX_COMMON_NAME_LENGTH = 64  # characters; the limit of X.509
AUTHORITY_CERTIFICATE = "ca.crt"
AUTHORITY_KEY = "ca.key"

AUTHORITY_USAGE = x509.KeyUsage(
    digital_signature=False,
    content_commitment=False,
    key_encipherment=False,
    data_encipherment=False,
    key_agreement=False,
    key_cert_sign=True,
    crl_sign=True,
    encipher_only=False,
    decipher_only=False,
)


def create_authority(folder: Path, fleet: str) -> None:
    """Create ``ca.crt`` and ``ca.key`` in a folder.

    Raises:
        PkiError: if the folder has an authority already.
    """
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    key = ec.generate_private_key(ec.SECP256R1())
    name = _common_name(f"oakbridge fleet {fleet}")
    key_id = x509.SubjectKeyIdentifier.from_public_key(key.public_key())
    certificate = (
        _builder(name, name, key.public_key(), AUTHORITY_DAYS)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(AUTHORITY_USAGE, critical=True)
        .add_extension(key_id, critical=False)
        .sign(key, hashes.SHA256())
    )
    try:
        _write_new(folder / AUTHORITY_KEY, _key_pem(key), secret=True)
        _write_new(folder / AUTHORITY_CERTIFICATE, _certificate_pem(certificate), secret=False)
    except FileExistsError as error:
        raise PkiError(
            f"{error.filename}: already exists; a new authority would invalidate all certificates"
        ) from None


def issue_certificate(
    folder: Path, identity: Identity, stem: Path, days: float = CERTIFICATE_DAYS
) -> None:
    """Issue a certificate for an identity, and write ``STEM.crt`` and ``STEM.key``.

    Raises:
        PkiError: if the authority in ``folder`` can't be read, or the files exist already.
    """
    authority, signer = _load_authority(folder)
    key = ec.generate_private_key(ec.SECP256R1())
    is_agent = identity.kind is IdentityKind.AGENT
    usage = ExtendedKeyUsageOID.SERVER_AUTH if is_agent else ExtendedKeyUsageOID.CLIENT_AUTH
    uri = x509.UniformResourceIdentifier(identity.uri)
    authority_id = x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key())
    certificate = (
        _builder(_common_name(identity.name), authority.subject, key.public_key(), days)
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(x509.ExtendedKeyUsage([usage]), critical=False)
        .add_extension(x509.SubjectAlternativeName([uri]), critical=False)
        .add_extension(authority_id, critical=False)
        .sign(signer, hashes.SHA256())
    )
    stem.parent.mkdir(mode=0o700, parents=True, exist_ok=True)
    try:
        _write_new(_append_suffix(stem, ".key"), _key_pem(key), secret=True)
        _write_new(_append_suffix(stem, ".crt"), _certificate_pem(certificate), secret=False)
    except FileExistsError as error:
        raise PkiError(f"{error.filename}: already exists") from None


def certificate_days_left(path: Path) -> float:
    """Return the number of days until a certificate expires; below 0 once it has expired.

    Raises:
        PkiError: if the certificate can't be read.
    """
    try:
        certificate = x509.load_pem_x509_certificate(path.read_bytes())
    except (OSError, ValueError) as error:
        raise PkiError(f"{path}: {error}") from None
    left = certificate.not_valid_after_utc - datetime.datetime.now(datetime.UTC)
    return left / datetime.timedelta(days=1)


def tls_context(authority: Path, stem: Path, *, server: bool) -> ssl.SSLContext:
    """Return the TLS context of one end of a connection.

    The end presents ``STEM.crt``, and accepts only peers with certificates of ``authority``, which
    is the file of the fleet's authority.

    Raises:
        PkiError: if the authority's certificate, the end's own or its key can't be read.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = False  # a certificate's identity is its URI, not an address
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_verify_locations(authority)
        context.load_cert_chain(_append_suffix(stem, ".crt"), _append_suffix(stem, ".key"))
    except (OSError, ssl.SSLError) as error:
        raise PkiError(f"{stem}: {error}") from None
    return context


def _load_authority(folder: Path) -> tuple[x509.Certificate, ec.EllipticCurvePrivateKey]:
    try:
        certificate = x509.load_pem_x509_certificate((folder / AUTHORITY_CERTIFICATE).read_bytes())
        key = serialization.load_pem_private_key((folder / AUTHORITY_KEY).read_bytes(), None)
    except (OSError, ValueError) as error:
        raise PkiError(f"{folder}: expected the fleet's authority: {error}") from None
    if not isinstance(key, ec.EllipticCurvePrivateKey):
        raise PkiError(f"{folder / AUTHORITY_KEY}: expected an elliptic curve key")
    return certificate, key


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
        .not_valid_before(now - CLOCK_SKEW)
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def _common_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text[:MAX_COMMON_NAME_LENGTH])])


def _key_pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def _certificate_pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


def _append_suffix(stem: Path, suffix: str) -> Path:
    """Append a suffix; ``Path.with_suffix`` would replace the end of a name that has dots."""
    return stem.with_name(stem.name + suffix)


def _write_new(path: Path, data: bytes, *, secret: bool) -> None:
    """Write and sync a new file; a secret one is readable by its owner only.

    Raises FileExistsError.
    """
    mode = 0o600 if secret else 0o644
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, mode)
    with os.fdopen(fd, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
