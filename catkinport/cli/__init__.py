"""The command line of operators, ``catkinctl``."""
