// Starts the stand-in for the platform and other programs of the build for a test.
#ifndef SNIPE_TESTS_STAND_IN_H
#define SNIPE_TESTS_STAND_IN_H

#include <gtest/gtest.h>

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <climits>
#include <cstdio>
#include <string>
#include <vector>

// The top of the build tree, where all programs are; the running test is one level below.
inline std::string ProgramDirectory()
{
	char path[PATH_MAX];
	ssize_t n = readlink("/proc/self/exe", path, sizeof(path) - 1);

	path[n > 0 ? n : 0] = '\0';
	std::string dir = std::string(path).substr(0, std::string(path).rfind('/'));
	return dir.substr(0, dir.rfind('/'));
}

// A child process with its standard output (and, if asked for, standard error) on a pipe.
class Child
{
      public:
	explicit Child(std::vector<std::string> args, bool with_stderr = false)
	{
		std::vector<char *> argv;
		posix_spawn_file_actions_t actions;
		int fds[2];

		for (auto &a : args)
			argv.push_back(&a[0]);
		argv.push_back(nullptr);
		EXPECT_EQ(pipe(fds), 0);
		posix_spawn_file_actions_init(&actions);
		posix_spawn_file_actions_adddup2(&actions, fds[1], 1);
		if (with_stderr)
			posix_spawn_file_actions_adddup2(&actions, fds[1], 2);
		posix_spawn_file_actions_addclose(&actions, fds[0]);
		posix_spawn_file_actions_addclose(&actions, fds[1]);
		EXPECT_EQ(posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ),
			  0);
		posix_spawn_file_actions_destroy(&actions);
		close(fds[1]);
		out_ = fdopen(fds[0], "r");
	}
	~Child()
	{
		if (pid_ > 0) {
			kill(pid_, SIGTERM);
			waitpid(pid_, nullptr, 0);
		}
		fclose(out_);
	}
	std::string Line()
	{
		char line[256];

		return fgets(line, sizeof(line), out_) ? line : "";
	}
	// Reads all output and returns the exit status.
	int Wait(std::string *output)
	{
		char buf[4096];
		size_t n;
		int status;

		while ((n = fread(buf, 1, sizeof(buf), out_)) > 0)
			output->append(buf, n);
		waitpid(pid_, &status, 0);
		pid_ = -1;
		return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	}

      private:
	pid_t pid_ = -1;
	FILE *out_;
};

class StandIn : public Child
{
      public:
	explicit StandIn(std::vector<std::string> options = {}) : Child(Command(options))
	{
		std::string line = Line();

		port = std::stoi(line.substr(line.find("port=") + 5));
	}
	int port;

      private:
	static std::vector<std::string> Command(std::vector<std::string> options)
	{
		options.insert(options.begin(), ProgramDirectory() + "/fake_platform");
		return options;
	}
};

#endif
