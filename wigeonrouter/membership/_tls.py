"""Mutual TLS between daemons, with certificate rotation.

A server certificate has to name the IP address that peers connect to, which
gRPC verifies. A client certificate's common name has to be the daemon id that
the client's calls state. Both certificates have to be signed by a trusted
authority.
"""

import ssl

import grpc

# Metadata key of each call that carries the id of the calling daemon.
SENDER_KEY = "daemon-id"


class PeerTls:
    """The current certificates; new connections use the newest ones.

    Args:
      authority_files: paths of the PEM files of the trusted authorities.
      certificate_file: path of the PEM file of the certificate.
      key_file: path of the PEM file of its key.
    Raises:
      OSError: see load().
    """

    def __init__(self, *, authority_files, certificate_file, key_file):
        self._server_configuration = None
        self._channel_credentials = None
        self._served_configuration = None
        self.load(
            authority_files=authority_files,
            certificate_file=certificate_file,
            key_file=key_file,
        )

    @property
    def channel_credentials(self):
        """grpc.ChannelCredentials of the files that were loaded last."""
        return self._channel_credentials

    def load(self, *, authority_files, certificate_file, key_file):
        """Load the files; an unusable one leaves the current ones in place.

        Raises:
          OSError: a file cannot be read or is not a PEM file, the key does not
            match the certificate, or there is no authority file.
        """
        check = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        check.load_cert_chain(certificate_file, key_file)
        for name in authority_files:
            check.load_verify_locations(name)
        if not authority_files:
            raise OSError("no authority file is configured")
        authorities = b"\n".join(_read(name) for name in authority_files)
        certificate, key = _read(certificate_file), _read(key_file)
        self._server_configuration = grpc.ssl_server_certificate_configuration(
            [(key, certificate)], root_certificates=authorities
        )
        self._channel_credentials = grpc.ssl_channel_credentials(
            root_certificates=authorities,
            private_key=key,
            certificate_chain=certificate,
        )

    def server_credentials(self):
        """Return grpc.ServerCredentials that are updated by load()."""
        self._served_configuration = self._server_configuration
        return grpc.dynamic_ssl_server_credentials(
            self._server_configuration,
            self._fetch_configuration,
            require_client_authentication=True,
        )

    def _fetch_configuration(self):
        """Return a new configuration for gRPC, or None if it is unchanged."""
        if self._served_configuration is self._server_configuration:
            return None
        self._served_configuration = self._server_configuration
        return self._served_configuration


class SenderNameInterceptor(grpc.ServerInterceptor):
    """Rejects calls whose stated sender is not the certificate's name."""

    def intercept_service(self, continuation, handler_call_details):
        handler = continuation(handler_call_details)
        if handler is None:
            return None
        metadata = dict(handler_call_details.invocation_metadata)
        stated = metadata.get(SENDER_KEY)
        if handler.response_streaming:
            return grpc.unary_stream_rpc_method_handler(
                _require_sender_name(handler.unary_stream, stated),
                request_deserializer=handler.request_deserializer,
                response_serializer=handler.response_serializer,
            )
        return grpc.unary_unary_rpc_method_handler(
            _require_sender_name(handler.unary_unary, stated),
            request_deserializer=handler.request_deserializer,
            response_serializer=handler.response_serializer,
        )


def _require_sender_name(method, stated):
    """Wrap a method so that it checks the sender's name first."""

    def checked_method(request, context):
        names = context.auth_context().get("x509_common_name", ())
        if not all(
            [name.encode()] == list(names)
            for name in _stated_names(request, stated)
        ):
            context.abort(
                grpc.StatusCode.UNAUTHENTICATED,
                "the certificate's common name is not the stated daemon id",
            )
        return method(request, context)

    return checked_method


def _stated_names(request, stated):
    """Return the daemon ids stated in the metadata and in the message."""
    names = [stated or ""]
    if hasattr(request, "sender"):
        names.append(request.sender.daemon_id)
    if hasattr(request, "claimant"):
        names.append(request.claimant.partition("~")[0])
    return names


def _read(name):
    with open(name, "rb") as file:
        return file.read()
