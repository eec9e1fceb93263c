"""Fault schedules against real processes, with histories checked against promises."""
