#include "support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "support/wait.h"

namespace snipe_test
{

TempDir::TempDir()
{
	std::string pattern =
		(std::filesystem::temp_directory_path() / "snipe-XXXXXX").string();

	if (!mkdtemp(pattern.data()))
		throw std::runtime_error("cannot make a temporary directory");
	path_ = pattern;
}

TempDir::~TempDir()
{
	std::error_code ignored;

	if (!getenv("SNIPE_TEST_KEEP"))
		std::filesystem::remove_all(path_, ignored);
}

std::string ReadFile(const std::string &path)
{
	std::ifstream in(path, std::ios::binary);
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}

void WriteFile(const std::string &path, const std::string &text)
{
	std::ofstream(path, std::ios::binary) << text;
}

std::map<std::string, std::string> ParsePairs(const std::string &line)
{
	std::map<std::string, std::string> pairs;
	size_t at = 0;

	while (at < line.size()) {
		size_t eq = line.find('=', at);

		if (eq == std::string::npos)
			break;
		std::string key = line.substr(at, eq - at);
		size_t end;

		if (eq + 1 < line.size() && line[eq + 1] == '"') {
			end = line.find('"', eq + 2);
			if (end == std::string::npos)
				end = line.size();
			pairs[key] = line.substr(eq + 2, end - eq - 2);
			end++;
		} else {
			end = line.find(' ', eq);
			if (end == std::string::npos)
				end = line.size();
			pairs[key] = line.substr(eq + 1, end - eq - 1);
		}
		at = line.find_first_not_of(' ', end);
		if (at == std::string::npos)
			break;
	}
	return pairs;
}

static size_t FileSize(const std::string &path)
{
	struct stat st;

	return stat(path.c_str(), &st) == 0 ? static_cast<size_t>(st.st_size) : 0;
}

Process::Process(const std::vector<std::string> &argv, const std::string &files) : files_(files)
{
	std::string program = std::string(SNIPE_BUILD_DIR) + "/" + argv[0];
	std::string out = files + ".out", err = files + ".err";
	std::vector<char *> args;
	pid_t parent = getpid();
	int started[2];
	char byte;

	for (const auto &a : argv)
		args.push_back(const_cast<char *>(a.c_str()));
	args.push_back(nullptr);
	out_start_ = FileSize(out);
	err_start_ = FileSize(err);
	if (pipe2(started, O_CLOEXEC) < 0)
		throw std::runtime_error("pipe failed");
	pid_ = fork();
	if (pid_ < 0)
		throw std::runtime_error("fork failed");
	if (pid_ > 0) {
		// Until the child has started its program it holds the listeners of the test,
		// and their ports could not be used again.
		close(started[1]);
		while (read(started[0], &byte, 1) < 0 && errno == EINTR)
			;
		close(started[0]);
		return;
	}
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != parent)
		_exit(1);
	int null = open("/dev/null", O_RDONLY);
	int out_fd = open(out.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
	int err_fd = open(err.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(null, 0);
	dup2(out_fd, 1);
	dup2(err_fd, 2);
	if (started[1] > 3)
		close_range(3, (unsigned)started[1] - 1, 0);
	close_range((unsigned)started[1] + 1, ~0U, 0);
	execv(program.c_str(), args.data());
	_exit(127);
}

Process::~Process()
{
	Kill();
}

std::string Process::Output() const
{
	std::string text = ReadFile(files_ + ".out");

	return text.substr(std::min(out_start_, text.size()));
}

std::string Process::Errors() const
{
	std::string text = ReadFile(files_ + ".err");

	return text.substr(std::min(err_start_, text.size()));
}

static std::map<std::string, std::string> FindEvent(const std::string &text,
						    const std::string &name)
{
	std::istringstream in(text);
	std::string line;

	while (std::getline(in, line)) {
		if (in.eof())
			break; /* not written to its end yet */
		auto pairs = ParsePairs(line);
		auto it = pairs.find("event");
		if (it != pairs.end() && it->second == name)
			return pairs;
	}
	return {};
}

std::map<std::string, std::string> Process::WaitEvent(const std::string &name)
{
	std::map<std::string, std::string> found;

	WaitFor([&] {
		bool running = Running();

		found = FindEvent(Output(), name);
		if (found.empty())
			found = FindEvent(Errors(), name);
		return !found.empty() || !running;
	});
	return found;
}

bool Process::Reap(int flags)
{
	int status;

	if (ended_)
		return true;
	if (waitpid(pid_, &status, flags) != pid_)
		return false;
	ended_ = true;
	status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
	return true;
}

bool Process::Running()
{
	return !Reap(WNOHANG);
}

void Process::Signal(int sig)
{
	if (Running())
		kill(pid_, sig);
}

int Process::Wait()
{
	return WaitFor([&] { return !Running(); }) ? status_ : -1;
}

void Process::Kill()
{
	if (pid_ <= 0 || ended_)
		return;
	kill(pid_, SIGKILL);
	Reap(0);
}

RunResult Run(const std::vector<std::string> &argv, const std::string &files)
{
	Process p(argv, files);
	int status = p.Wait();

	return {status, p.Output(), p.Errors()};
}

} // namespace snipe_test
