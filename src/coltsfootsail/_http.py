"""HTTP/1.1 server and pooled client on trio streams, using h11."""

from coltsfootsail import _http_client
from coltsfootsail import _http_messages
from coltsfootsail import _http_server

STREAM_ERRORS = _http_messages.STREAM_ERRORS
HttpLimits = _http_messages.HttpLimits
HttpRequest = _http_messages.HttpRequest
Phase = _http_messages.Phase
AnswerTooLarge = _http_messages.AnswerTooLarge
Responder = _http_server.Responder
serve_connection = _http_server.serve_connection
error_json = _http_server.error_json
error_headers = _http_server.error_headers
Exchange = _http_client.Exchange
HttpClient = _http_client.HttpClient
