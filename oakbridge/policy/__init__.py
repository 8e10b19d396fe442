"""The decisions: which server, whether to try again, what waits, what is turned away.  No I/O in here."""
