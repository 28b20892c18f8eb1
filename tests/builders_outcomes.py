"""Builders of test data for outcomes of servers."""

from mulberrywharf.policy import outcome_counts


def counts(*figures: int) -> outcome_counts.Windows:
    """Returns answers and failures of a server and of the others."""
    compared = outcome_counts.Compared(
        outcome_counts.Outcomes(*figures[:2]),
        outcome_counts.Outcomes(*figures[2:]),
    )
    return outcome_counts.Windows(compared, compared)
