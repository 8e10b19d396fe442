/* Makes system calls of a process fail according to a control file; loaded by LD_PRELOAD.
 *
 * The control file (FAULT_CONTROL) is memory-mapped: a test can start and stop faults at any time
 * and read how often each was injected.  Its layout is struct control, which
 * benchmarks/faults/fault_control.py mirrors.  Accept, connect, send, receive and listen faults
 * apply to AF_INET sockets only, disk faults only to regular files and directories below
 * FAULT_DISK.  SEND and RECEIVE don't apply to connections accepted at FAULT_LISTEN_PORT.
 * FAULT_SEED seeds the random draws.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum fault_kind {
    ACCEPT, SOCKET, CONNECT, SEND, RECEIVE, WAIT, SHORT_SEND, SHORT_RECEIVE,
    DISK_WRITE, DISK_SYNC, DISK_METADATA, LISTEN, SEND_TRANSIENT, RECEIVE_TRANSIENT,
    EPOLL_CONTROL, KINDS = 16
};

struct fault {
    int32_t error;     /* errno of the failed call */
    int32_t percent;   /* percentage of calls that fail; 0: the fault is stopped */
    uint32_t injected; /* how often the fault was injected */
    uint32_t reserved;
};

struct control {
    struct fault faults[KINDS];
    int64_t realtime_offset_ns; /* added to the wall clock */
};

static struct control *control;
static const char *disk_prefix;
static uint64_t random_state;
static int listen_port;

#define REAL(name) ((__typeof__(&name))real_function(#name))

static void *real_function(const char *name)
{
    return dlsym(RTLD_NEXT, name);
}

__attribute__((constructor)) static void map_control(void)
{
    const char *path = getenv("FAULT_CONTROL"), *seed = getenv("FAULT_SEED");
    const char *port = getenv("FAULT_LISTEN_PORT");
    disk_prefix = getenv("FAULT_DISK");
    listen_port = port ? atoi(port) : 0;
    random_state = (seed ? strtoull(seed, NULL, 10) : 1) * 2654435761u + 88172645463325252ull;
    if (path == NULL)
        return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED)
        control = mapped;
}

static uint32_t draw(void)
{
    uint64_t state = __atomic_load_n(&random_state, __ATOMIC_RELAXED);
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    __atomic_store_n(&random_state, state, __ATOMIC_RELAXED);
    return (uint32_t)(state >> 32);
}

/* Returns whether to inject a fault into this call; if so, counts the fault. */
static int should_inject(enum fault_kind kind)
{
    if (control == NULL)
        return 0;
    struct fault *fault = &control->faults[kind];
    if (fault->percent <= 0 || (int32_t)(draw() % 100) >= fault->percent)
        return 0;
    __atomic_add_fetch(&fault->injected, 1, __ATOMIC_RELAXED);
    return 1;
}

/* Returns whether this call fails; if so, sets errno. */
static int should_fail(enum fault_kind kind)
{
    if (!should_inject(kind))
        return 0;
    errno = control->faults[kind].error;
    return 1;
}

static int is_inet(int fd)
{
    int domain = 0, saved_errno = errno;
    socklen_t length = sizeof domain;
    int matches = getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && domain == AF_INET;
    errno = saved_errno;
    return matches;
}

/* Returns whether the socket is bound to the port at which clients connect.  Their connections
 * don't fail: a test couldn't tell a failed connection from a request that the node dropped. */
static int has_listen_port(int fd)
{
    struct sockaddr_in local_address;
    socklen_t length = sizeof local_address;
    int saved_errno = errno;
    int matches = listen_port != 0
        && getsockname(fd, (struct sockaddr *)&local_address, &length) == 0
        && ntohs(local_address.sin_port) == listen_port;
    errno = saved_errno;
    return matches;
}

static int has_disk_prefix(const char *path)
{
    return disk_prefix != NULL && strncmp(path, disk_prefix, strlen(disk_prefix)) == 0;
}

static int is_on_disk(int fd)
{
    char link[64], path[4096];
    struct stat status;
    int saved_errno = errno;
    if (control == NULL || disk_prefix == NULL)
        return 0;
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    int is_file_or_folder = length > 0 && fstat(fd, &status) == 0
        && (S_ISREG(status.st_mode) || S_ISDIR(status.st_mode));
    errno = saved_errno;
    if (!is_file_or_folder)
        return 0;
    path[length] = '\0';
    return has_disk_prefix(path);
}

static size_t draw_length(enum fault_kind kind, size_t length)
{
    return length > 1 && should_inject(kind) ? 1 + draw() % (length / 2) : length;
}

/* ---- sockets */

int socket(int domain, int type, int protocol)
{
    return should_fail(SOCKET) ? -1 : REAL(socket)(domain, type, protocol);
}

int socketpair(int domain, int type, int protocol, int fds[2])
{
    return should_fail(SOCKET) ? -1 : REAL(socketpair)(domain, type, protocol, fds);
}

int listen(int fd, int backlog)
{
    return is_inet(fd) && should_fail(LISTEN) ? -1 : REAL(listen)(fd, backlog);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    return is_inet(fd) && should_fail(ACCEPT) ? -1 : REAL(accept4)(fd, address, length, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *length)
{
    return is_inet(fd) && should_fail(ACCEPT) ? -1 : REAL(accept)(fd, address, length);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    if (!is_inet(fd) || !should_fail(CONNECT))
        return REAL(connect)(fd, address, length);
    if (errno == EINTR) { /* an interrupted connect still establishes the connection */
        REAL(connect)(fd, address, length);
        errno = EINTR;
    }
    return -1;
}

ssize_t send(int fd, const void *data, size_t length, int flags)
{
    if (is_inet(fd)) {
        if (should_fail(SEND_TRANSIENT) || (!has_listen_port(fd) && should_fail(SEND)))
            return -1;
        length = draw_length(SHORT_SEND, length);
    }
    return REAL(send)(fd, data, length, flags);
}

ssize_t recv(int fd, void *data, size_t length, int flags)
{
    if (is_inet(fd)) {
        if (should_fail(RECEIVE_TRANSIENT)
            || (!(flags & MSG_PEEK) && !has_listen_port(fd) && should_fail(RECEIVE)))
            return -1;
        length = draw_length(SHORT_RECEIVE, length);
    }
    return REAL(recv)(fd, data, length, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout)
{
    return should_fail(WAIT) ? -1 : REAL(epoll_wait)(fd, events, max_events, timeout);
}

int epoll_ctl(int fd, int operation, int target, struct epoll_event *event)
{
    return should_fail(EPOLL_CONTROL) ? -1 : REAL(epoll_ctl)(fd, operation, target, event);
}

/* ---- clock */

int clock_gettime(clockid_t clock, struct timespec *now)
{
    int result = REAL(clock_gettime)(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME && control != NULL)
        now->tv_sec += control->realtime_offset_ns / 1000000000;
    return result;
}

time_t time(time_t *result)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result != NULL)
        *result = now.tv_sec;
    return now.tv_sec;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    int result = REAL(gettimeofday)(now, zone);
    if (result == 0 && control != NULL)
        now->tv_sec += control->realtime_offset_ns / 1000000000;
    return result;
}

/* ---- disk: a failed write may have written some of its data */

ssize_t write(int fd, const void *data, size_t length)
{
    if (control != NULL && control->faults[DISK_WRITE].percent > 0 && is_on_disk(fd)
        && should_inject(DISK_WRITE)) {
        if (length > 1 && draw() % 2)
            return REAL(write)(fd, data, length / 2);
        errno = control->faults[DISK_WRITE].error;
        return -1;
    }
    return REAL(write)(fd, data, length);
}

static ssize_t write_at(int fd, const void *data, size_t length, off_t offset)
{
    if (control != NULL && control->faults[DISK_WRITE].percent > 0 && is_on_disk(fd)
        && should_inject(DISK_WRITE)) {
        if (length > 1)
            REAL(pwrite64)(fd, data, length / 2, offset);
        errno = control->faults[DISK_WRITE].error;
        return -1;
    }
    return REAL(pwrite64)(fd, data, length, offset);
}

ssize_t pwrite(int fd, const void *data, size_t length, off_t offset)
{
    return write_at(fd, data, length, offset);
}

ssize_t pwrite64(int fd, const void *data, size_t length, off_t offset)
{
    return write_at(fd, data, length, offset);
}

int fsync(int fd)
{
    return is_on_disk(fd) && should_fail(DISK_SYNC) ? -1 : REAL(fsync)(fd);
}

int fdatasync(int fd)
{
    return is_on_disk(fd) && should_fail(DISK_SYNC) ? -1 : REAL(fdatasync)(fd);
}

int rename(const char *from, const char *to)
{
    return has_disk_prefix(to) && should_fail(DISK_METADATA) ? -1 : REAL(rename)(from, to);
}

int mkdir(const char *path, mode_t mode)
{
    return has_disk_prefix(path) && should_fail(DISK_METADATA) ? -1 : REAL(mkdir)(path, mode);
}

int symlink(const char *target, const char *path)
{
    return has_disk_prefix(path) && should_fail(DISK_METADATA) ? -1 : REAL(symlink)(target, path);
}

static int creates_file(const char *path, int flags)
{
    return (flags & O_CREAT) && has_disk_prefix(path) && access(path, F_OK) != 0;
}

#define OPEN(name)                                                                            \
    int name(const char *path, int flags, ...)                                                \
    {                                                                                         \
        va_list arguments;                                                                    \
        va_start(arguments, flags);                                                           \
        mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, mode_t) : 0;          \
        va_end(arguments);                                                                    \
        return creates_file(path, flags) && should_fail(DISK_METADATA) ? -1                   \
            : REAL(name)(path, flags, mode);                                                  \
    }

OPEN(open)
OPEN(open64)
