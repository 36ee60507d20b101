"""Creates an authority and certificates signed by it."""

import datetime
import ipaddress
import os
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

AUTHORITY_DAYS = 3650
DAEMON_DAYS = 90
# Clocks of VMs that are not yet synchronised may be behind.
_BACKDATED = datetime.timedelta(hours=1)


def create_authority(*, directory, name="authority", days=AUTHORITY_DAYS):
    """Write <name>.pem and <name>-key.pem.

    Returns:
      The name of the certificate file.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    # gRPC finds the authority of a certificate by its subject, so two
    # authorities that are accepted at the same time need different ones.
    subject = _common_name(f"{name} {x509.random_serial_number():x}"[:64])
    certificate = (
        _builder(subject, subject, key, days)
        .add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        .sign(key, hashes.SHA256())
    )
    return _write(directory, name, certificate, key)[0]


def create_daemon_certificate(
    *,
    directory,
    daemon_id,
    addresses,
    authority="authority",
    days=DAEMON_DAYS,
):
    """Write <daemon_id>.pem and <daemon_id>-key.pem.

    Args:
      directory: holds the authority's files and gets the new ones.
      daemon_id: becomes the common name.
      addresses: IP addresses, as text, that peers connect to.
      authority: name given to create_authority.
      days: time for which the certificate is valid.
    Returns:
      The names of the certificate file and of the key file.
    Raises:
      OSError: the authority's files cannot be read.
      ValueError: an address is no IP address.
    """
    folder = pathlib.Path(directory)
    issuer = x509.load_pem_x509_certificate(
        (folder / f"{authority}.pem").read_bytes()
    )
    issuer_key = serialization.load_pem_private_key(
        (folder / f"{authority}-key.pem").read_bytes(), password=None
    )
    key = ec.generate_private_key(ec.SECP256R1())
    names = [x509.IPAddress(ipaddress.ip_address(a)) for a in addresses]
    usages = [
        oid.ExtendedKeyUsageOID.SERVER_AUTH,
        oid.ExtendedKeyUsageOID.CLIENT_AUTH,
    ]
    certificate = (
        _builder(_common_name(daemon_id), issuer.subject, key, days)
        .add_extension(x509.SubjectAlternativeName(names), critical=False)
        .add_extension(x509.ExtendedKeyUsage(usages), critical=False)
        .sign(issuer_key, hashes.SHA256())
    )
    return _write(directory, daemon_id, certificate, key)


def _builder(subject, issuer, key, days):
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _BACKDATED)
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def _common_name(text):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _write(directory, name, certificate, key):
    folder = pathlib.Path(directory)
    paths = folder / f"{name}.pem", folder / f"{name}-key.pem"
    encoded = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    # The key must not be readable by others at any time.
    paths[1].unlink(missing_ok=True)
    descriptor = os.open(paths[1], os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "wb") as file:
        file.write(encoded)
    return str(paths[0]), str(paths[1])
