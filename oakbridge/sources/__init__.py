"""Sources of the endpoint list other than discovery: an inline list and watched server files.

``parsing`` turns a file's bytes into servers or problems, and ``version_tracker`` decides which
version is used when; neither does I/O.  ``file_source`` polls the disk, executes the tracker's
actions and gives complete versions to a node.
"""
