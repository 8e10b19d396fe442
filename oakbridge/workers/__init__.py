"""Several processes on one port, each an instance of the tier, under one supervisor that holds the door.

Pure: ``share`` (what one worker may of what all may), ``spread`` (who gets the next connection), ``crew`` (which
workers run, restarts, rolling restarts), ``wire`` (their messages), ``report`` (one account of all).  Shells:
``door`` (the supervisor's process), ``inside`` (a worker's).
"""
