"""One process of the project's own: when to start it, when to try again, when to call it a crash loop.  Pure."""
