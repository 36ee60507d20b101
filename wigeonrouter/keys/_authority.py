"""Creates a certificate authority (CA) and certificates signed by it."""

import datetime
import ipaddress
import os
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

DEFAULT_AUTHORITY_VALIDITY_DAYS = 3650
DEFAULT_DAEMON_VALIDITY_DAYS = 90
# Certificates are valid from this time before their creation, since the clock
# of a VM may be behind until it is synchronized.
_CLOCK_SKEW_ALLOWANCE = datetime.timedelta(hours=1)


def create_authority(
    *, directory, name="authority", days=DEFAULT_AUTHORITY_VALIDITY_DAYS
):
    """Create a CA; write <name>.pem and <name>-key.pem.

    Args:
      directory: existing directory for the files.
      name: base name of the files and start of the common name.
      days: validity of the certificate, days.
    Returns:
      The path of the certificate file.
    Raises:
      OSError: a file cannot be written.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    # gRPC looks up the CA of a certificate by subject, so two CAs that are
    # trusted at the same time need different subjects.
    subject = _common_name(f"{name} {x509.random_serial_number():x}"[:64])
    certificate = (
        _certificate_builder(subject, subject, key, days)
        .add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        .sign(key, hashes.SHA256())
    )
    return _write_pem_files(directory, name, certificate, key)[0]


def create_daemon_certificate(
    *,
    directory,
    daemon_id,
    addresses,
    authority="authority",
    days=DEFAULT_DAEMON_VALIDITY_DAYS,
):
    """Create a daemon certificate; write <daemon_id>.pem and its -key.pem.

    Args:
      directory: contains the files of the CA and gets the new ones.
      daemon_id: common name of the certificate.
      addresses: IP addresses, as text, that peers connect to.
      authority: name of the CA, as given to create_authority().
      days: validity of the certificate, days.
    Returns:
      The paths of the certificate file and of the key file.
    Raises:
      OSError: a file cannot be read or written.
      ValueError: an address is not an IP address, or a CA file is invalid.
    """
    directory_path = pathlib.Path(directory)
    issuer = x509.load_pem_x509_certificate(
        (directory_path / f"{authority}.pem").read_bytes()
    )
    issuer_key = serialization.load_pem_private_key(
        (directory_path / f"{authority}-key.pem").read_bytes(), password=None
    )
    key = ec.generate_private_key(ec.SECP256R1())
    names = [x509.IPAddress(ipaddress.ip_address(a)) for a in addresses]
    usages = [
        oid.ExtendedKeyUsageOID.SERVER_AUTH,
        oid.ExtendedKeyUsageOID.CLIENT_AUTH,
    ]
    certificate = (
        _certificate_builder(
            _common_name(daemon_id), issuer.subject, key, days
        )
        .add_extension(x509.SubjectAlternativeName(names), critical=False)
        .add_extension(x509.ExtendedKeyUsage(usages), critical=False)
        .sign(issuer_key, hashes.SHA256())
    )
    return _write_pem_files(directory, daemon_id, certificate, key)


def _certificate_builder(subject, issuer, key, days):
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _CLOCK_SKEW_ALLOWANCE)
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def _common_name(text):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _write_pem_files(directory, name, certificate, key):
    directory_path = pathlib.Path(directory)
    paths = directory_path / f"{name}.pem", directory_path / f"{name}-key.pem"
    encoded = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    # Created with mode 0600, so that other users can never read the key.
    paths[1].unlink(missing_ok=True)
    descriptor = os.open(paths[1], os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "wb") as file:
        file.write(encoded)
    return str(paths[0]), str(paths[1])
