"""Sources of the endpoint list other than discovery: a configuration's own list, and watched files.

``parsing`` turns a file's bytes into servers or problems, ``version_tracker`` decides which version
is used when; both do no I/O.  ``file_source`` polls the disk, carries out what the tracker decides
and hands whole versions to a node.
"""
