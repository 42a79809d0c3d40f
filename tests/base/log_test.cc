// Guards against a process that blocks on the reader of its log, and against lines that are
// truncated, reordered or dropped without being counted when the reader is slow.
#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include "base/log.h"

namespace
{

// Redirects standard output to a pipe that the test reads.
struct Log : testing::Test {
	int saved = -1, reader = -1;
	std::string text;

	// GLib allows one log writer to be set per process.
	static void SetUpTestSuite()
	{
		snipe_log_init("test", SNIPE_LOG_INFO);
		snipe_log_use_stdout();
	}
	void SetUp() override
	{
		int fds[2];

		signal(SIGPIPE, SIG_IGN);
		fflush(stdout);
		saved = dup(STDOUT_FILENO);
		ASSERT_EQ(pipe(fds), 0);
		ASSERT_GE(dup2(fds[1], STDOUT_FILENO), 0);
		close(fds[1]);
		reader = fds[0];
		fcntl(reader, F_SETFL, O_NONBLOCK);
	}
	void TearDown() override
	{
		dup2(saved, STDOUT_FILENO);
		close(saved);
		if (reader >= 0)
			close(reader);
	}
	void read_all()
	{
		char data[65536];
		ssize_t n;

		while ((n = read(reader, data, sizeof(data))) > 0)
			text.append(data, (size_t)n);
	}
	std::vector<std::string> lines() const
	{
		std::vector<std::string> list;
		size_t at = 0, end;

		while ((end = text.find('\n', at)) != std::string::npos) {
			list.push_back(text.substr(at, end - at));
			at = end + 1;
		}
		EXPECT_EQ(at, text.size()) << "the last line is truncated";
		return list;
	}
	static int parse_number(const std::string &line, const char *name)
	{
		size_t at = line.find(name);

		return at == std::string::npos ? -1 : atoi(line.c_str() + at + strlen(name));
	}
	// Writes lines of about 250 bytes.
	static void write_lines(int from, int to)
	{
		for (int i = from; i < to; i++)
			snipe_log(SNIPE_LOG_INFO, "line", "number=%d pad=%s", i,
				  std::string(150, 'x').c_str());
	}
};

} // namespace

TEST_F(Log, SlowReaderDoesNotBlockAndGetsWholeLinesInOrder)
{
	const int count = 4000; // a megabyte, four times the buffer
	int next = 0, dropped = 0;

	write_lines(0, count);
	for (int i = 0; i < 40; i++) {
		snipe_log_flush(); // must not block
		read_all();
	}
	for (const auto &line : lines()) {
		int n = parse_number(line, "number=");

		if (n >= 0) {
			EXPECT_EQ(n, next++);
			EXPECT_EQ(line.substr(line.size() - 3), "xxx");
		} else {
			dropped += parse_number(line, "event=log_lines_dropped count=");
		}
	}
	EXPECT_GT(next, 200);
	EXPECT_EQ(next + dropped, count);
}

TEST_F(Log, LinesAreDiscardedWithoutAReader)
{
	close(reader);
	reader = -1;
	write_lines(0, 10);
	snipe_log_flush();
	snipe_log_flush();
}
