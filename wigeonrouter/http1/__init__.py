"""HTTP/1.1 over sockets: parsing, rendering, connection pool, server."""

from wigeonrouter.http1 import _buffer_budget
from wigeonrouter.http1 import _caller_connection
from wigeonrouter.http1 import _messages
from wigeonrouter.http1 import _pool
from wigeonrouter.http1 import _progress
from wigeonrouter.http1 import _render
from wigeonrouter.http1 import _request_reader
from wigeonrouter.http1 import _response_reader
from wigeonrouter.http1 import _server
from wigeonrouter.http1 import _sockets

AbortReason = _pool.AbortReason
BufferBudget = _buffer_budget.BufferBudget
CallerDisconnected = _caller_connection.CallerDisconnected
CallerServer = _server.CallerServer
Connection = _pool.Connection
ConnectFailed = _pool.ConnectFailed
ConnectionAborted = _pool.ConnectionAborted
ConnectionPool = _pool.ConnectionPool
HOP_BY_HOP = _messages.HOP_BY_HOP
HttpRequest = _messages.HttpRequest
HttpResponse = _messages.HttpResponse
MalformedMessage = _messages.MalformedMessage
NEW_CONNECTION = _pool.NEW_CONNECTION
ProgressTimeout = _progress.ProgressTimeout
RequestNotSent = _pool.RequestNotSent
RequestReader = _request_reader.RequestReader
ResponseReader = _response_reader.ResponseReader
STOP_TIMEOUT_S = _server.STOP_TIMEOUT_S
TaskSocket = _sockets.TaskSocket

index_headers = _messages.index_headers
read_response = _response_reader.read_response
render_forwarded = _render.render_forwarded
render_response = _render.render_response
