"""Trial deployments of the platform's daemon against the stand-in of the platform."""
