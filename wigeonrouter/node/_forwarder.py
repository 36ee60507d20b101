"""Passes requests on to other nodes while this one reaches no server."""

import time

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _forwarded_request
from wigeonrouter.node import messages

# Nodes of the own region to which a request is sent before it is sent to
# those of other regions, and how many of these there are.
_REGION_PEERS = 3
_REMOTE_PEERS = 2


class Forwarder:
    """Sends requests to nodes that reach the backend servers.

    A request that another node has passed on is never passed on again.

    Args:
      settings: topology.NodeSettings.
      sender: Sender.
      link_monitor: LinkMonitor.
      cluster_state: ClusterState, which knows the nodes of other regions.
      peers: function that returns the topology.Peers of the own region.
      request_log: RequestLog.
      codec: the adapter's HTTP codec.
    """

    def __init__(
        self,
        *,
        settings,
        sender,
        link_monitor,
        cluster_state,
        peers,
        request_log,
        codec=None,
        clock=time.monotonic,
    ):
        self._host = settings.host
        self._region = settings.place.region
        self._port = settings.peer_ports[1]
        self._sender = sender
        self._link_monitor = link_monitor
        self._cluster_state = cluster_state
        self._peers = peers
        self._request_log = request_log
        self._codec = codec
        self._clock = clock

    def should_forward(self, context):
        """Return whether to pass a request on, if a node takes it.

        That is while this node is cut off from all servers. Until that is
        certain, only requests that could not reach a server are passed on.
        """
        if context.origin is not None or context.forwarding_failed:
            return False
        return self._link_monitor.cut or (
            context.connect_failures > 0 and self._link_monitor.suspected
        )

    def should_decline(self, context):
        """Return whether another node's request is to go elsewhere."""
        return (
            context.origin is not None
            and not context.may_have_run
            and self._link_monitor.suspected
        )

    def forward(self, context, may_retry):
        """Pass a request on.

        Args:
          context: RequestContext.
          may_retry: function that returns whether a request may be repeated
            after a failed Attempt.
        Returns:
          HttpResponse of the other node, messages.Rejection, or None if no
          node takes the request, which this one has to handle then.
        """
        for address in self.addresses(
            context.service, context.pending.home_regions
        ):
            attempt = self._send(context, address)
            if attempt.response is not None:
                if _forwarded_request.is_declined(attempt.response):
                    continue
                return _check_promise(attempt)
            if attempt.outcome is placement.AttemptOutcome.CANCELLED:
                break
            if attempt.outcome is placement.AttemptOutcome.UNREACHABLE:
                continue
            context.attempts += 1
            if not may_retry(attempt):
                return messages.Rejection(
                    problem=core.problems.ANSWER_LOST, detail=attempt.detail
                )
        context.forwarding_failed = True
        return None

    def _send(self, context, address):
        started = self._clock()
        context.hand_over(str(address), started)
        attempt = None
        key_headers = None
        if self._keys_required:
            key_headers = self._codec.key_headers(context.request)
        try:
            attempt = self._sender.send_to(
                address,
                render=lambda remaining: _forwarded_request.render(
                    context.request,
                    self._make_origin(context, remaining),
                    key_headers,
                ),
                request=context.request,
                request_id=context.request_id,
                idempotent=context.route.idempotent,
                response_deadline=context.pending.deadline,
            )
        finally:
            context.take_back(may_have_run=_may_have_run(attempt))
        self._request_log.on_forwarded(
            context, address, attempt, self._clock() - started
        )
        return attempt

    @property
    def _keys_required(self):
        return self._cluster_state.configuration.keys_required

    def _make_origin(self, context, remaining):
        return _forwarded_request.Origin(
            host=self._host,
            service=context.service,
            attempts=context.attempts,
            may_have_run=context.may_have_run,
            time_to_target=context.pending.target_time - self._clock(),
            time_to_deadline=remaining,
        )

    def addresses(self, service, home_regions):
        """Return the addresses that a request is passed on to, best first.

        The body of a request with home regions stays in these and in its
        caller's region, which is the own one.

        Args:
          service: name of the service.
          home_regions: frozenset of regions, None if all may serve it.
        """
        peers = topology.forwarding_peers(
            service=service,
            peers=self._peers(),
            own_host=self._host,
            count=_REGION_PEERS,
            keys_required=self._keys_required,
        )
        if peers:
            return [
                core.parse_address(peer.forwarding_address) for peer in peers
            ]
        remote_hosts = self._cluster_state.remote_hosts
        if self._keys_required:
            remote_hosts = self._cluster_state.remote_key_checkers
        hosts = topology.remote_forwarding_hosts(
            service=service,
            hosts=remote_hosts(self._region, home_regions),
            count=_REMOTE_PEERS,
        )
        return [core.Address(host=host, port=self._port) for host in hosts]


def _check_promise(attempt):
    """Return the HttpResponse of a node, or the Rejection in its place.

    Nodes of earlier builds hand out a server's status that promises that the
    request has not run, although the server did not state it.
    """
    metadata = attempt.metadata
    if metadata.unfounded_promise and metadata.stamped:
        return messages.Rejection(problem=core.problems.ANSWER_INVALID)
    return attempt.response


def _may_have_run(attempt):
    """Return whether a request may have run after it was passed on.

    Args:
      attempt: Attempt, None if it was cancelled or failed unexpectedly.
    """
    if attempt is None:
        return True
    if attempt.response is None:
        return attempt.may_have_run
    return not _forwarded_request.is_declined(attempt.response)


class ForwardedRequestHandler:
    """Handles the requests that other nodes pass on.

    Args:
      proxy: Proxy.
      link_monitor: LinkMonitor.
      codec: the adapter's HTTP codec.
    """

    def __init__(self, *, proxy, link_monitor, codec):
        self._proxy = proxy
        self._link_monitor = link_monitor
        self._codec = codec

    def body_limit(self, request):
        """Return the maximum request body size in bytes."""
        return self._proxy.body_limit(request)

    def handle(self, request, arrived):
        """Return the HttpResponse for another node.

        Raises:
          http1.CallerDisconnected: the node closed its connection, as it does
            when its caller has.
        """
        request, origin = _forwarded_request.read(request)
        if origin is None:
            return self._reject(core.problems.BAD_REQUEST, request)
        if self._link_monitor.cut and not origin.may_have_run:
            return _forwarded_request.decline(
                self._reject(core.problems.SERVERS_UNREACHABLE, request)
            )
        return self._proxy.handle(request, arrived, origin)

    def _reject(self, problem, request):
        return self._codec.render_rejection(
            rejection=messages.Rejection(problem=problem),
            request_id=self._codec.read_request(request).request_id,
        )
