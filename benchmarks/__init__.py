"""Benchmarks: one script per question, each with a baseline, the product, a bound."""
