"""Guards against unauthenticated peers and failed certificate rotation."""

import itertools

import gevent
from gevent import server as gevent_server
from gevent import socket
import grpc
import pytest

from wigeonrouter import core
from wigeonrouter import keys
from wigeonrouter import membership
from wigeonrouter.membership import _client
from wigeonrouter.schema import peer_pb2
from wigeonrouter.schema import peer_pb2_grpc

# Type of a TLS record that carries a handshake message.
_HANDSHAKE_RECORD = b"\x16"


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


@pytest.fixture
def closing_proxy():
    """A function that starts a proxy which closes its first connections.

    Args:
      address: where it forwards the other connections to.
      closed: number of connections that it closes during the handshake.
    """
    proxies = []

    def start(address, *, closed):
        connections = itertools.count()

        def serve(sock, _):
            sock.recv(1)
            if next(connections) < closed:
                return
            with socket.create_connection((address.host, address.port)) as end:
                # The byte is the first one of the client's handshake.
                end.sendall(_HANDSHAKE_RECORD)
                backward = gevent.spawn(_copy, end, sock)
                _copy(sock, end)
                backward.join()

        proxy = gevent_server.StreamServer(("127.0.0.1", 0), serve)
        proxy.start()
        proxies.append(proxy)
        return core.Address(host="127.0.0.1", port=proxy.server_port)

    yield start
    for proxy in proxies:
        proxy.stop(timeout=0.1)


def _copy(source, target):
    try:
        while data := source.recv(65536):
            target.sendall(data)
    except OSError:
        pass


def test_call_outlives_a_connection_closed_during_the_handshake(
    authorities, serve, closing_proxy
):
    """Guards against a call that fails at once though nothing was sent.

    Under load the handshake of a new channel sometimes fails.
    """
    address = closing_proxy(
        serve(membership.PeerTls(**_tls_files(authorities, "d1"))), closed=1
    )
    client = _client.PeerClient(
        daemon_id="d2", tls=membership.PeerTls(**_tls_files(authorities, "d2"))
    )
    reply = _exchange(client, address, "d2")
    client.close()
    assert reply is not None and reply.revision == 7


def test_call_to_a_peer_that_never_shakes_hands_ends_in_time(
    authorities, serve, closing_proxy
):
    """Guards against a call that goes on trying after its timeout."""
    address = closing_proxy(
        serve(membership.PeerTls(**_tls_files(authorities, "d1"))),
        closed=1000,
    )
    client = _client.PeerClient(
        daemon_id="d2", tls=membership.PeerTls(**_tls_files(authorities, "d2"))
    )
    with gevent.Timeout(30):
        assert _exchange(client, address, "d2") is None
    client.close()


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
