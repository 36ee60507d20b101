"""Mutual TLS between daemons, with files that can be replaced.

A server certificate has to name the IP address that peers connect to; gRPC
checks that. A client certificate's common name has to be the daemon id that
its calls state. Both have to come from an accepted authority.
"""

import ssl

import grpc

# Names the calling daemon in the metadata of each call.
SENDER_KEY = "daemon-id"


class PeerTls:
    """Owns the certificates in use. New connections use the newest ones."""

    def __init__(self, *, authority_files, certificate_file, key_file):
        self._server_configuration = None
        self._channel_credentials = None
        self._fetched = None
        self.load(
            authority_files=authority_files,
            certificate_file=certificate_file,
            key_file=key_file,
        )

    @property
    def channel_credentials(self):
        """grpc.ChannelCredentials of the newest files."""
        return self._channel_credentials

    def load(self, *, authority_files, certificate_file, key_file):
        """Read the files; nothing changes where one of them is unusable.

        Raises:
          OSError: a file cannot be read, is no PEM file, or the key does not
            belong to the certificate.
        """
        check = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        check.load_cert_chain(certificate_file, key_file)
        for name in authority_files:
            check.load_verify_locations(name)
        if not authority_files:
            raise OSError("no authority file is given")
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
        """Return grpc.ServerCredentials that follow load()."""
        self._fetched = self._server_configuration
        return grpc.dynamic_ssl_server_credentials(
            self._server_configuration,
            self._fetch,
            require_client_authentication=True,
        )

    def _fetch(self):
        if self._fetched is self._server_configuration:
            return None
        self._fetched = self._server_configuration
        return self._fetched


class RequireName(grpc.ServerInterceptor):
    """Refuses calls whose stated sender is not the certificate's name."""

    def intercept_service(self, continuation, handler_call_details):
        handler = continuation(handler_call_details)
        if handler is None:
            return None
        metadata = dict(handler_call_details.invocation_metadata)
        stated = metadata.get(SENDER_KEY)
        if handler.response_streaming:
            return grpc.unary_stream_rpc_method_handler(
                _checked(handler.unary_stream, stated),
                request_deserializer=handler.request_deserializer,
                response_serializer=handler.response_serializer,
            )
        return grpc.unary_unary_rpc_method_handler(
            _checked(handler.unary_unary, stated),
            request_deserializer=handler.request_deserializer,
            response_serializer=handler.response_serializer,
        )


def _checked(behaviour, stated):
    def behave(request, context):
        names = context.auth_context().get("x509_common_name", ())
        if not all(
            [name.encode()] == list(names)
            for name in _stated_names(request, stated)
        ):
            context.abort(
                grpc.StatusCode.UNAUTHENTICATED,
                "the certificate does not name the stated daemon",
            )
        return behaviour(request, context)

    return behave


def _stated_names(request, stated):
    names = [stated or ""]
    if hasattr(request, "sender"):
        names.append(request.sender.daemon_id)
    if hasattr(request, "claimant"):
        names.append(request.claimant.partition("~")[0])
    return names


def _read(name):
    with open(name, "rb") as file:
        return file.read()
