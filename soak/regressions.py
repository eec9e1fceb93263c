"""Seeds of the soak test that have failed, with the cause of each."""

CAUSE_BY_SEED: dict[int, str] = {
    7: "unknown: an accepted job was shown as running; later runs did not fail",
    42: (
        "the check expected the end of a lasting job whose cancellation had no answer;"
        " the caller now repeats it, and it must be acknowledged"
    ),
    47: "unknown: as with seed 7",
}
"""Run by ``python -m soak --regressions`` with the default times and sizes."""
