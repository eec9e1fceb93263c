"""Seeds of the soak that have failed, with the cause of each."""

CAUSE_BY_SEED: dict[int, str] = {
    7: "not traced: an accepted job was shown as running; later plays did not fail",
    42: (
        "the check asked for the end of a lasting job whose cancellation had no answer;"
        " the caller now repeats it, and it must be acknowledged"
    ),
    47: "not traced: as seed 7",
}
"""Played by ``python -m soak --regressions`` with the default times and sizes."""
