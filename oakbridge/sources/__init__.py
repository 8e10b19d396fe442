"""Where the list of servers comes from, other than discovery: a configuration's own list, and watched files.

``formats`` reads a file's bytes, ``versions`` decides what is used when (both without any I/O); ``files`` is
the shell: it looks at the disk, parses beside the loop and hands whole versions to a node.
"""
