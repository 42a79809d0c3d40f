/*
 * A child process whose output goes to files. It is killed when the object or the test program
 * ends. Start processes from the main thread only: PDEATHSIG follows the thread.
 */
#ifndef SNIPE_TEST_PROCESS_H
#define SNIPE_TEST_PROCESS_H

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace snipe_test
{

/* A directory that is removed with the object. */
class TempDir
{
      public:
	TempDir();
	~TempDir();
	TempDir(const TempDir &) = delete;
	TempDir &operator=(const TempDir &) = delete;
	std::string File(const std::string &name) const
	{
		return path_ + "/" + name;
	}

      private:
	std::string path_;
};

std::string ReadFile(const std::string &path);
void WriteFile(const std::string &path, const std::string &text);

/* The key=value pairs of one log line. */
std::map<std::string, std::string> ParsePairs(const std::string &line);

class Process
{
      public:
	/* argv[0] is the name of a program of the build tree. Output is appended to
	 * FILES.out and FILES.err. */
	Process(const std::vector<std::string> &argv, const std::string &files);
	~Process();
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	/* Waits for a line event=NAME of this process on stdout or stderr; empty if the
	 * process ends or the deadline passes. */
	std::map<std::string, std::string> WaitEvent(const std::string &name);
	void Signal(int sig);
	/* Waits for the end. Returns the exit status, 128 + signal, or -1 at the deadline. */
	int Wait();
	bool Running();
	void Kill(); /* SIGKILL, and waits */
	pid_t pid() const
	{
		return pid_;
	}
	std::string Output() const;
	std::string Errors() const;

      private:
	std::string files_;
	size_t out_start_ = 0, err_start_ = 0;
	pid_t pid_ = -1;
	int status_ = -1;
	bool ended_ = false;
	bool Reap(int flags);
};

/* Runs a program to its end. */
struct RunResult {
	int status;
	std::string out, err;
};
RunResult Run(const std::vector<std::string> &argv, const std::string &files);

} // namespace snipe_test

#endif
