"""``GET /v1/models``: lists the models that callers can use."""

import json
from collections.abc import Mapping
from typing import Any

from mulberrywharf.callers import response

_OWNER = "mulberrywharf"


def respond(
    models: Mapping[str, Mapping[str, Any]], request_id: str
) -> response.Response:
    """Returns the list in OpenAI's format, adapters as ``model:adapter``."""
    names = []
    for model, entry in sorted(models.items()):
        names.append(model)
        names += [f"{model}:{name}" for name in entry.get("adapters", ())]
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": _OWNER}
        for name in names
    ]
    body = json.dumps({"object": "list", "data": data}).encode()
    return response.json_response(body, request_id)
