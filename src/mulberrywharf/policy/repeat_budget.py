"""Budget of the repeats that all gateways share.

A repeat is an arrival of a request at servers beyond its first one. The first
prefill of a request that a server accepts is none.

Promise: in any period of ``window_s``, the servers of a service receive at most
``ratio`` repeats for each request of callers and ``allowance_count`` more, from
all gateways together. The requests are those that callers sent in the period
itself or in the one before it, whichever has more. This is the operators' rule.

The promise needs no messages. Each gateway keeps the ratio for the requests
that it received itself, in each period that contains the repeat, so the sum
over all gateways keeps it, whatever their number and whenever they start. It
takes the mean of the requests in the period itself and in the one before: the
sum of all means is no more than the larger sum, while the sum of each gateway's
larger number could be twice as much. The allowance belongs to the gateways that
hold its shares, see ``allowance_shares``.

Assumptions, with ``now_s`` in seconds of a clock that goes on while the machine
is suspended:

* A repeat arrives before its answer begins, or within ``ARRIVAL_DELAY_S`` of
  the end of its exchange. The kernel gives up a connection after 1.5 s without
  an acknowledgement. A server that stands still may read a request later, from
  its kernel; only one that stands still for longer than its callers wait
  breaks this.
* A request is read within ``READ_DELAY_S`` of being sent. Callers give up later
  ones.
* All gateways have the same settings.

``retry_budget`` has the rules for routers.
"""

import itertools
import math
from typing import NamedTuple

from mulberrywharf.policy import allowance_shares

ARRIVAL_DELAY_S = 1.8
"""Maximum time from the end of a repeat's exchange, or from the charge of one
whose exchange isn't known, to its arrival at a server."""

READ_DELAY_S = 1.0
"""Maximum time from the sending of a request to its count at a gateway."""

LENT_SHARE = 0.5
"""Fraction of its own repeats up to which a gateway grants some to others. The
rest is kept for its own callers."""

_WINDOW_BUCKETS = 100
"""Buckets in a period. All counts are rounded against the repeats, to whole
buckets."""

_KEPT_BUCKETS = 2 * _WINDOW_BUCKETS + 1
"""Buckets that are kept: a period, the one before it and the current bucket."""

_ROUNDING = 1e-9


class RepeatBudgetSettings(NamedTuple):
    """Limits on repeats.

    Attributes:
        ratio: Maximum repeats per request, over all gateways.
        window_s: Length of the period for both counts.
        allowance_count: Additional repeats in each period, over all gateways.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    allowance_count: float = 0.0


class Charge(NamedTuple):
    """A repeat that was charged.

    Attributes:
        service: The service.
        latest_s: When it arrives at the latest; infinite while its exchange is
            open and has no answer.
        share: Share of the allowance that it was charged to, None if it was
            charged to the ratio.
        resets_count: How often the counts of the ratio had been reset.
    """

    service: str
    latest_s: float
    share: int | None = None
    resets_count: int = 0


class Decision(NamedTuple):
    """Whether one repeat may be sent, and why.

    Attributes:
        charge: What was charged, None if the repeat must not be sent.
        period_offset_s: Begin of the period that allows the fewest repeats, in
            seconds before now.
        requests_count: Mean of the requests in that period and in the one
            before.
        repeats_count: Repeats charged in that period, this one excluded.
        shares: Shares of the allowance that this gateway could use.
        left_count: Repeats that were left, of the ratio and of these shares.
    """

    charge: Charge | None
    period_offset_s: float
    requests_count: float
    repeats_count: int
    shares: tuple[int, ...]
    left_count: int


class _Period(NamedTuple):
    """Counts that limit a repeat, for one period that contains it.

    Attributes:
        offset_buckets: Begin of the period, in buckets before now.
        requests_count: Mean of the requests in it and in the period before.
        repeats_count: Repeats charged that may arrive in the period.
    """

    offset_buckets: int
    requests_count: float
    repeats_count: int


class _Counts:
    """Requests of one service, and repeats charged to the ratio.

    Attributes:
        requests: Requests by bucket; the last bucket is the current one.
        repeats: Repeats by the bucket in which they arrive at the latest. The
            last bucket is that of a repeat that is charged now.
        open_count: Repeats that may arrive at any time from now on.
        period: The strictest period, None if it must be found anew. New
            requests and early arrivals can only make it less strict, so it is
            found once for each bucket.
    """

    def __init__(self, bucket: int, delay_buckets: int) -> None:
        self._first_bucket = bucket - _KEPT_BUCKETS + 1
        self.requests = [0] * _KEPT_BUCKETS
        self.repeats = [0] * (_KEPT_BUCKETS + delay_buckets)
        self.open_count = 0
        self.period: _Period | None = None

    def advance(self, bucket: int) -> None:
        """Makes a bucket the current one."""
        passed_count = bucket - _KEPT_BUCKETS + 1 - self._first_bucket
        if passed_count <= 0:
            return
        self._first_bucket += passed_count
        self.period = None
        for counts in (self.requests, self.repeats):
            size = len(counts)
            del counts[:passed_count]
            counts.extend([0] * (size - len(counts)))

    def add_repeats(self, bucket: int, count: int) -> None:
        """Adds repeats that arrive in a bucket at the latest."""
        if bucket >= self._first_bucket:
            last = len(self.repeats) - 1
            self.repeats[min(last, bucket - self._first_bucket)] += count


class RepeatBudget:
    """Budget of one gateway's repeats, by service."""

    def __init__(
        self,
        settings: RepeatBudgetSettings,
        shares: allowance_shares.Shares | None = None,
    ):
        """Makes a budget of which nothing is spent.

        Args:
            settings: Limits on repeats.
            shares: The shares of the allowance that this gateway holds; None
                for a gateway without others, which holds all.
        """
        self._shares = shares or allowance_shares.AllShares()
        self._counts: dict[str, _Counts] = {}
        self._resets_count = 0
        # For each share, when each repeat charged to it arrives at the latest.
        self._charged_s: dict[str, list[list[float]]] = {}
        self._apply(settings)

    def configure(self, settings: RepeatBudgetSettings) -> None:
        """Changes the limits.

        A new length of the period resets the counts of the ratio, as a restart
        does. Repeats that were charged to shares still count.
        """
        if settings.window_s != self._settings.window_s:
            self._counts.clear()
            self._resets_count += 1
        for counts in self._counts.values():
            counts.period = None
        self._apply(settings)

    def _apply(self, settings: RepeatBudgetSettings) -> None:
        self._settings = settings
        self._share_sizes = allowance_shares.share_sizes(
            settings.allowance_count
        )
        self._bucket_s = settings.window_s / _WINDOW_BUCKETS
        self._delay_buckets = math.ceil(ARRIVAL_DELAY_S / self._bucket_s)
        # Without a bucket that counts, a period would have fewer than none.
        self._read_buckets = min(
            math.ceil(READ_DELAY_S / self._bucket_s), _WINDOW_BUCKETS - 1
        )

    def note_request(self, service: str, now_s: float) -> None:
        """Counts a caller's request for the service."""
        self._current(service, now_s).requests[-1] += 1

    def decide(self, service: str, now_s: float) -> Decision:
        """Charges one repeat, unless none is left."""
        return self._charge(self.foresee(service, now_s))

    def lend(self, service: str, now_s: float) -> bool:
        """Charges a repeat of another gateway, unless it is needed here.

        The other gateway has as much less time to send it as has passed since
        it asked, so its arrival is within ``ARRIVAL_DELAY_S`` of this charge.
        """
        decision = self.foresee(service, now_s, ratio_share=LENT_SHARE)
        return self._charge(decision).charge is not None

    def _charge(self, decision: Decision) -> Decision:
        charge = decision.charge
        if charge is not None:
            self._add(charge, 1)
            counts = self._counts[charge.service]
            if charge.share is None and counts.period is not None:
                # It may arrive in any period.
                counts.period = counts.period._replace(
                    repeats_count=counts.period.repeats_count + 1
                )
        return decision

    def foresee(
        self, service: str, now_s: float, *, ratio_share: float = 1.0
    ) -> Decision:
        """Returns what ``decide`` would, and charges nothing.

        Args:
            service: The service.
            now_s: The current time.
            ratio_share: Fraction of the ratio that may be spent.
        """
        counts = self._current(service, now_s)
        settings = self._settings
        if counts.period is None:
            counts.period = self._strictest_period(counts)
        period = counts.period
        allowed_count = ratio_share * settings.ratio * period.requests_count
        counted_s = settings.window_s + ARRIVAL_DELAY_S
        usable = tuple(self._shares.usable(now_s, counted_s))
        charged_s = self._charged_to_shares_s(service, now_s)
        left_counts = {
            share: max(0, self._share_sizes[share] - len(charged_s[share]))
            for share in usable
        }
        ratio_left_count = math.floor(
            allowed_count - period.repeats_count + _ROUNDING
        )
        latest_s = now_s + ARRIVAL_DELAY_S
        charge = None
        if ratio_left_count > 0:
            charge = Charge(service, latest_s, resets_count=self._resets_count)
        else:
            share = max(usable, key=left_counts.__getitem__, default=None)
            if share is not None and left_counts[share] > 0:
                charge = Charge(service, latest_s, share)
        return Decision(
            charge,
            period.offset_buckets * self._bucket_s,
            period.requests_count,
            period.repeats_count,
            usable,
            max(0, ratio_left_count) + sum(left_counts.values()),
        )

    def refund(self, charge: Charge) -> None:
        """Takes a charge back, as what was sent was no repeat."""
        self._add(charge, -1)

    def open(self, charge: Charge) -> Charge:
        """Records that the exchange of a repeat begins.

        Returns:
            The charge that takes the place of this one. It counts until
            ``settle`` is called.
        """
        return self._replace(charge, math.inf)

    def settle(self, charge: Charge, latest_s: float) -> Charge:
        """Records that a repeat has arrived, or will at a time at the latest.

        Returns:
            The charge that takes the place of this one.
        """
        return self._replace(charge, min(charge.latest_s, latest_s))

    def _replace(self, charge: Charge, latest_s: float) -> Charge:
        replaced = charge._replace(latest_s=latest_s)
        self._add(charge, -1)
        self._add(replaced, 1)
        return replaced

    def _add(self, charge: Charge, count: int) -> None:
        """Adds a charge to the counts, or takes it back."""
        if charge.share is None:
            counts = self._counts.get(charge.service)
            if counts is not None and charge.resets_count == self._resets_count:
                self._add_to_ratio(counts, charge.latest_s, count)
            return
        share_s = self._charged_s[charge.service][charge.share]
        if count > 0:
            share_s.append(charge.latest_s)
        elif charge.latest_s in share_s:
            share_s.remove(charge.latest_s)

    def _add_to_ratio(
        self, counts: _Counts, latest_s: float, count: int
    ) -> None:
        if math.isinf(latest_s):
            counts.open_count += count
            counts.period = None
        else:
            counts.add_repeats(math.floor(latest_s / self._bucket_s), count)

    def _charged_to_shares_s(
        self, service: str, now_s: float
    ) -> list[list[float]]:
        """Returns the charges to each share that still count."""
        charged_s = self._charged_s.setdefault(
            service, [[] for _ in range(allowance_shares.SHARES_COUNT)]
        )
        since_s = now_s - self._settings.window_s
        for share_s in charged_s:
            share_s[:] = [one_s for one_s in share_s if one_s >= since_s]
        return charged_s

    def _strictest_period(self, counts: _Counts) -> _Period:
        """Returns the period that allows the fewest further repeats.

        Compares every period in which a repeat that is sent now may arrive. A
        period that begins in a bucket begins anywhere in it, and a request was
        sent up to ``READ_DELAY_S`` before its count. So repeats count if they
        may arrive in any such period, and requests if they were certainly sent
        in any such period or in the one before.
        """
        window, delay = _WINDOW_BUCKETS, self._delay_buckets
        read = self._read_buckets
        requests = _sums(counts.requests, window + delay)
        repeats = _sums(counts.repeats, 0)
        repeats_count = repeats[-1] + counts.open_count
        ratio = self._settings.ratio
        least = (math.inf, 0, 0.0, 0)
        for begin in range(window, _KEPT_BUCKETS + delay):
            sent = (
                requests[begin + window] - requests[begin + 1 - window + read]
            )
            arriving = repeats_count - repeats[begin]
            left = ratio * sent / 2 - arriving
            if left < least[0]:
                least = (left, begin, sent / 2, arriving)
        _, begin, requests_count, arriving = least
        return _Period(_KEPT_BUCKETS - 1 - begin, requests_count, arriving)

    def _current(self, service: str, now_s: float) -> _Counts:
        bucket = math.floor(now_s / self._bucket_s)
        counts = self._counts.get(service)
        if counts is None:
            counts = _Counts(bucket, self._delay_buckets)
            self._counts[service] = counts
        counts.advance(bucket)
        return counts


def _sums(counts: list[int], more_count: int) -> list[int]:
    """Returns the sum of all counts before each one, and then the total."""
    sums = list(itertools.accumulate(counts, initial=0))
    return sums + [sums[-1]] * more_count
