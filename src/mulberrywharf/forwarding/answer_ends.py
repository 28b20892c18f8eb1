"""Counts and logs how the answers of servers end."""

from loguru import logger

from mulberrywharf import metrics
from mulberrywharf.policy import answer_end

_ends_total = metrics.counter(
    "mulberry_answer_ends_total",
    "Answers of servers by route and by what their end proves.",
)


def note(
    request_id: str,
    route: str,
    source: dict[str, str],
    ending: answer_end.Ending,
) -> answer_end.End:
    """Counts the end of an answer; logs it unless the answer is complete.

    Args:
        request_id: Id of the request.
        route: Name of its route.
        source: Log fields that tell who sent the answer.
        ending: How the answer ended.

    Returns:
        What the end proves.
    """
    end = answer_end.classify(ending)
    _ends_total.inc({"route": route, "end": end})
    if end != "complete":
        logger.bind(
            request_id=request_id, route=route, **source, **ending._asdict()
        ).info("answer ended {}", end)
    return end
