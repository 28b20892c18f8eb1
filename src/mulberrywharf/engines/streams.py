"""One request to one engine, read as a stream of events."""

from collections.abc import Iterator

from geventhttpclient import HTTPClient

from mulberrywharf import errors, fleet

_EVENT_END = b"\n\n"
_STREAM_DONE = b"data: [DONE]"


def relay(
    address: fleet.Address, path: str, body: bytes, request_id: str
) -> Iterator[bytes]:
    """Yields an engine's events as they come.

    Args:
        address: The engine.
        path: Such as ``/v1/completions``.
        body: The OpenAI request as JSON.
        request_id: Sent along, and echoed by the engine.

    Raises:
        EngineUnreachableError: No connection was made.
        StreamBrokenError: The stream ended before its checked end.
    """
    client = HTTPClient(address.ip, address.port)
    headers = {"content-type": "application/json", "x-request-id": request_id}
    try:
        try:
            response = client.request("POST", path, body, headers)
        except ConnectionRefusedError as error:
            raise errors.EngineUnreachableError(str(error)) from error
        while event := response.readline(_EVENT_END):
            yield event
            if event.startswith(_STREAM_DONE):
                return
        raise errors.StreamBrokenError("the stream ended without [DONE]")
    finally:
        client.close()
