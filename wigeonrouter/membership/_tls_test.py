"""Guards against unauthenticated peers and failed certificate rotation."""

import grpc
import pytest

from wigeonrouter import core
from wigeonrouter import keys
from wigeonrouter import membership
from wigeonrouter.membership import _client
from wigeonrouter.schema import peer_pb2
from wigeonrouter.schema import peer_pb2_grpc


class _Servicer(peer_pb2_grpc.PeerServicer):
    def Exchange(self, request, context):
        return peer_pb2.GossipMessage(revision=7)

    def Claim(self, request, context):
        return peer_pb2.ClaimReply(seen=True)

    def Fetch(self, request, context):
        yield peer_pb2.FetchChunk(snapshot=b"x")


@pytest.fixture
def authorities(tmp_path):
    """Directory of two authorities that issued certificates to d1 and d2."""
    for name in ("old", "new"):
        folder = tmp_path / name
        folder.mkdir()
        keys.create_authority(directory=folder)
        for daemon_id in ("d1", "d2"):
            keys.create_daemon_certificate(
                directory=folder, daemon_id=daemon_id, addresses=["127.0.0.1"]
            )
    keys.create_daemon_certificate(
        directory=tmp_path / "old", daemon_id="d3", addresses=["10.0.0.1"]
    )
    return tmp_path


def _tls_files(folder, daemon_id, *, accepted=("old",), signer="old"):
    return {
        "authority_files": [
            str(folder / name / "authority.pem") for name in accepted
        ],
        "certificate_file": str(folder / signer / f"{daemon_id}.pem"),
        "key_file": str(folder / signer / f"{daemon_id}-key.pem"),
    }


@pytest.fixture
def serve():
    """A function that starts a peer server and returns its address."""
    servers = []

    def start(tls):
        server = membership.PeerServer(
            address=core.Address(host="127.0.0.1", port=0),
            servicer=_Servicer(),
            tls=tls,
        )
        server.start()
        servers.append(server)
        return core.Address(host="127.0.0.1", port=server.port)

    yield start
    for server in servers:
        server.stop(grace=0)


def _exchange(client, address, sender):
    request = peer_pb2.GossipMessage()
    request.sender.daemon_id = sender
    return client.call("Exchange", address, request, timeout=5)


@pytest.mark.parametrize(
    ("signer", "certificate", "stated", "sender", "served"),
    [
        ("old", "d2", "d2", "d2", True),
        # Signed by an untrusted authority.
        ("new", "d2", "d2", "d2", False),
        # Another daemon's id in the metadata or in the message.
        ("old", "d2", "d1", "d1", False),
        ("old", "d2", "d2", "d1", False),
        ("old", "d2", "d1", "d2", False),
    ],
)
def test_only_the_daemon_named_by_the_certificate_is_served(
    authorities, serve, signer, certificate, stated, sender, served
):
    address = serve(membership.PeerTls(**_tls_files(authorities, "d1")))
    tls = membership.PeerTls(
        **_tls_files(authorities, certificate, signer=signer)
    )
    client = _client.PeerClient(daemon_id=stated, tls=tls)
    reply = _exchange(client, address, sender)
    assert (reply is not None) == served
    claim = client.call(
        "Claim", address, peer_pb2.ClaimRequest(claimant=f"{sender}~1")
    )
    assert (claim is not None) == served
    fetched = list(
        client.stream("Fetch", address, peer_pb2.FetchRequest(), timeout=5)
    )
    # Fetch states its sender in the metadata only.
    allowed = signer == "old" and stated == certificate
    assert len(fetched) == allowed
    client.close()


class _NoCertificate:
    """Trusts an authority, but presents no client certificate."""

    def __init__(self, authority_file):
        self.channel_credentials = grpc.ssl_channel_credentials(
            root_certificates=authority_file.read_bytes()
        )


@pytest.mark.parametrize("encrypted", [False, True])
def test_a_peer_without_a_certificate_is_rejected(
    authorities, serve, encrypted
):
    address = serve(membership.PeerTls(**_tls_files(authorities, "d1")))
    authority_file = authorities / "old" / "authority.pem"
    tls = _NoCertificate(authority_file) if encrypted else None
    client = _client.PeerClient(daemon_id="d2", tls=tls)
    assert _exchange(client, address, "d2") is None
    client.close()


def test_a_server_at_another_address_is_not_trusted(authorities, serve):
    """Guards against a server that uses a certificate stolen from a VM."""
    address = serve(membership.PeerTls(**_tls_files(authorities, "d3")))
    tls = membership.PeerTls(**_tls_files(authorities, "d2"))
    client = _client.PeerClient(daemon_id="d2", tls=tls)
    assert _exchange(client, address, "d2") is None
    client.close()


def test_certificates_are_replaced_without_an_outage(authorities, serve):
    """Guards against lost connections while the authority is replaced."""
    server_tls = membership.PeerTls(**_tls_files(authorities, "d1"))
    client_tls = membership.PeerTls(**_tls_files(authorities, "d2"))
    address = serve(server_tls)
    client = _client.PeerClient(daemon_id="d2", tls=client_tls)
    both = {"accepted": ("old", "new")}
    new = {"accepted": ("new",), "signer": "new"}
    for server_files, client_files in (
        ({}, {}),
        (both, {}),
        (both, both),
        ({**both, "signer": "new"}, both),
        ({**both, "signer": "new"}, {**both, "signer": "new"}),
        (new, {**both, "signer": "new"}),
        (new, new),
    ):
        server_tls.load(**_tls_files(authorities, "d1", **server_files))
        client_tls.load(**_tls_files(authorities, "d2", **client_files))
        client.renew_channels()
        assert _exchange(client, address, "d2").revision == 7
    client.close()
    stale_peer = _client.PeerClient(
        daemon_id="d2",
        tls=membership.PeerTls(**_tls_files(authorities, "d2", **both)),
    )
    assert _exchange(stale_peer, address, "d2") is None
    stale_peer.close()


def test_a_failed_reload_keeps_the_certificate(authorities, serve):
    """Guards against a failed reload that drops the current certificate."""
    tls = membership.PeerTls(**_tls_files(authorities, "d1"))
    wrong = _tls_files(authorities, "d1")
    wrong["key_file"] = _tls_files(authorities, "d2")["key_file"]
    with pytest.raises(OSError):
        tls.load(**wrong)
    with pytest.raises(OSError):
        tls.load(**{**wrong, "key_file": "/nonexistent"})
    address = serve(tls)
    client = _client.PeerClient(
        daemon_id="d2", tls=membership.PeerTls(**_tls_files(authorities, "d2"))
    )
    assert _exchange(client, address, "d2").revision == 7
    client.close()
