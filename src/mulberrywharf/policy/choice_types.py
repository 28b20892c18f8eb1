"""Input and result of the choice of an engine."""

from typing import NamedTuple

from mulberrywharf import fleet


class RequestShape(NamedTuple):
    """The properties of a request that the choice of engine depends on.

    Attributes:
        model: Name of the model.
        adapter: Name of the adapter, or empty.
        prompt_tokens: Length of the prompt, in tokens.
        expected_output_tokens: Expected length of the answer, in tokens.
        prompt_block_hashes: Hash of each full block of the prompt, see
            ``prefix_index.prompt_block_hashes``.
        priority: 0 (highest) to 9 (lowest).
        availability_zone: Zone of the entry VM that received the request.
    """

    model: str
    adapter: str = ""
    prompt_tokens: int = 0
    expected_output_tokens: int = 0
    prompt_block_hashes: tuple[str, ...] = ()
    priority: int = 5
    availability_zone: str = ""


class Choice(NamedTuple):
    """Where a request is to run.

    Attributes:
        prefill: The engine that prefills the prompt.
        decode: The engine that generates the answer; the same VM as
            ``prefill`` unless the KV cache is to be transferred.
        first_token_s: Estimated time to the first token.
        between_tokens_s: Estimated time between two output tokens.
        cached_tokens: Prompt tokens that the prefill engine is assumed to
            have in its prefix cache.
    """

    prefill: fleet.VmRecord
    decode: fleet.VmRecord
    first_token_s: float
    between_tokens_s: float
    cached_tokens: int = 0

    @property
    def is_split(self) -> bool:
        """Whether prefill and decode run on two different engines."""
        return self.prefill.vm_id != self.decode.vm_id

    def total_s(self, output_tokens: int) -> float:
        """Returns the estimated time until the last output token."""
        following_count = max(0, output_tokens - 1)
        return self.first_token_s + following_count * self.between_tokens_s
