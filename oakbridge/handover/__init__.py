"""One node, two processes for a while: the running one hands over to one that is started beside it."""
