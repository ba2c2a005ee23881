// Unpacks the program that is appended to this executable and executes it.
//
// The file consists of this launcher, entries (see `struct entry`) and a
// trailer. The entries are unpacked once into a temporary directory whose name
// holds the digest of launcher and entries; later starts reuse it. The launcher
// then calls execv(), so that launcher and program are one process.

#define _GNU_SOURCE
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <limits.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#define MAGIC "MULBDECK"
#define MAGIC_BYTES 8
#define DIGEST_DIGITS 16
#define DIRECTORY_VARIABLE "MULBERRYDECK_RUNTIME_DIR"
#define PROGRAM "mulberrydeck"
#define NAME_BYTES 128
#define WALK_DESCRIPTORS 16

// Header of one file; its path (without a terminating NUL) and content follow.
struct entry {
  uint32_t path_bytes;
  uint32_t mode;
  uint64_t size_bytes;
} __attribute__((packed));

struct trailer {
  uint64_t payload_offset;
  char digest[DIGEST_DIGITS];
  char magic[MAGIC_BYTES];
} __attribute__((packed));

static void fail(const char *what) {
  fprintf(stderr,
          PROGRAM ": %s: %s; set " DIRECTORY_VARIABLE
                  " to a writable directory with room for the program.\n",
          what, strerror(errno));
  exit(1);
}

// Writes `directory`/`name` to `path`, which has room for PATH_MAX bytes.
static void join(char *path, const char *directory, const char *name,
                 size_t name_bytes) {
  if (strlen(directory) + 1 + name_bytes >= PATH_MAX) {
    errno = ENAMETOOLONG;
    fail(directory);
  }
  char *end = stpcpy(path, directory);
  *end++ = '/';
  memcpy(end, name, name_bytes);
  end[name_bytes] = '\0';
}

// Maps this executable, whose trailer holds the offset of the entries.
static const char *map_self(size_t *size_bytes) {
  int file = open("/proc/self/exe", O_RDONLY | O_CLOEXEC);
  struct stat status;
  if (file < 0 || fstat(file, &status) != 0) fail("/proc/self/exe");
  *size_bytes = (size_t)status.st_size;
  void *data = mmap(NULL, *size_bytes, PROT_READ, MAP_PRIVATE, file, 0);
  if (data == MAP_FAILED) fail("mmap");
  close(file);
  return data;
}

static const char *base_directory(void) {
  const char *directory = getenv(DIRECTORY_VARIABLE);
  if (directory != NULL && directory[0] != '\0') return directory;
  directory = getenv("XDG_RUNTIME_DIR");
  if (directory != NULL && access(directory, W_OK) == 0) return directory;
  return access("/run", W_OK) == 0 ? "/run" : "/tmp";
}

// Creates the directories above a file inside `root`.
static void make_parents(char *path, size_t root_length) {
  for (char *end = path + root_length + 1; *end != '\0'; end++) {
    if (*end != '/') continue;
    *end = '\0';
    if (mkdir(path, 0700) != 0 && errno != EEXIST) fail(path);
    *end = '/';
  }
}

static void write_file(const char *path, const char *data, size_t size,
                       mode_t mode) {
  int file = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
  if (file < 0) fail(path);
  while (size > 0) {
    ssize_t written = write(file, data, size);
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) fail(path);
    data += written;
    size -= (size_t)written;
  }
  close(file);
}

static void write_link(const char *path, const char *data, size_t size) {
  char target[PATH_MAX];
  if (size >= sizeof target) fail(path);
  memcpy(target, data, size);
  target[size] = '\0';
  if (symlink(target, path) != 0) fail(path);
}

static void unpack(const char *next, const char *end, const char *root) {
  char path[PATH_MAX];
  size_t root_length = strlen(root);
  while (next < end) {
    struct entry entry;
    memcpy(&entry, next, sizeof entry);
    next += sizeof entry;
    join(path, root, next, entry.path_bytes);
    next += entry.path_bytes;
    make_parents(path, root_length);
    if (S_ISLNK(entry.mode)) {
      write_link(path, next, entry.size_bytes);
    } else {
      write_file(path, next, entry.size_bytes, entry.mode & 0700);
    }
    next += entry.size_bytes;
  }
}

static int remove_entry(const char *path, const struct stat *status, int kind,
                        struct FTW *place) {
  (void)status;
  (void)kind;
  (void)place;
  return remove(path);
}

static void remove_tree(const char *path) {
  nftw(path, remove_entry, WALK_DESCRIPTORS, FTW_DEPTH | FTW_PHYS);
}

// Removes the partial directories of launchers that ended while unpacking.
static void remove_leftovers(const char *base, const char *prefix) {
  DIR *listing = opendir(base);
  if (listing == NULL) return;
  struct dirent *item;
  while ((item = readdir(listing)) != NULL) {
    if (strncmp(item->d_name, prefix, strlen(prefix)) != 0) continue;
    const char *dot = strrchr(item->d_name, '.');
    pid_t owner = (pid_t)atoi(dot + 1);
    if (owner <= 0 || kill(owner, 0) == 0 || errno != ESRCH) continue;
    char path[PATH_MAX];
    join(path, base, item->d_name, strlen(item->d_name));
    remove_tree(path);
  }
  closedir(listing);
}

// Returns whether `path` exists. Fails if it is not a directory that belongs to
// this user and that no other user can access.
static int is_unpacked(const char *path) {
  struct stat status;
  if (lstat(path, &status) != 0) return 0;
  if (!S_ISDIR(status.st_mode) || status.st_uid != geteuid() ||
      (status.st_mode & 077) != 0) {
    errno = EPERM;
    fail(path);
  }
  return 1;
}

int main(int count, char **arguments) {
  (void)count;
  size_t size_bytes;
  const char *self = map_self(&size_bytes);
  struct trailer trailer;
  const char *end = self + size_bytes - sizeof trailer;
  memcpy(&trailer, end, sizeof trailer);
  if (memcmp(trailer.magic, MAGIC, MAGIC_BYTES) != 0) {
    errno = ENOEXEC;
    fail("this executable is truncated or corrupt");
  }

  const char *base = base_directory();
  char name[NAME_BYTES], prefix[NAME_BYTES];
  char root[PATH_MAX], partial[PATH_MAX], program[PATH_MAX];
  snprintf(name, sizeof name, PROGRAM "-%u-%.*s", geteuid(), DIGEST_DIGITS,
           trailer.digest);
  join(root, base, name, strlen(name));
  join(program, root, PROGRAM, strlen(PROGRAM));

  if (!is_unpacked(root)) {
    snprintf(prefix, sizeof prefix, ".%s.", name);
    remove_leftovers(base, prefix);
    snprintf(prefix, sizeof prefix, ".%s.%d", name, (int)getpid());
    join(partial, base, prefix, strlen(prefix));
    if (mkdir(partial, 0700) != 0) fail(partial);
    unpack(self + trailer.payload_offset, end, partial);
    if (rename(partial, root) != 0) {
      if (!is_unpacked(root)) fail(root);
      remove_tree(partial);
    }
  }
  execv(program, arguments);
  fail(program);
}
