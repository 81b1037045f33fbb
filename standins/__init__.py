"""Stand-ins of the platform's store and of upstream targets, for tests and bench."""
