"""The local control socket, on which a node reports its status and accepts operators' commands.

- ``protocol``: encoding of requests and responses, without I/O; ``errors``: this package's errors
- ``arguments``: the arguments of each command
- ``handler``, ``peers``, ``sites``: execution of the commands
- ``status``, ``discovery_status``: the JSON of a node's status
- ``server``: the node's end of the socket; ``client``: the command line's end
- ``paths``: the default paths of the sockets
"""
