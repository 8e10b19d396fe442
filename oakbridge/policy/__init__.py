"""The decisions: which server, whether to retry, what waits, what is rejected.  No I/O here."""
