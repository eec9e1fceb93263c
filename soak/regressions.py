"""Seeds of the soak that have failed, with the cause of each."""

CAUSE_BY_SEED: dict[int, str] = {
    7: (
        "the check asked for the end of a lasting job whose cancellation had no answer;"
        " the caller now repeats it, and it must be acknowledged"
    ),
    42: "the same, with a store that was down while the job was canceled",
}
"""Played by ``python -m soak --regressions`` with the default times and sizes."""
