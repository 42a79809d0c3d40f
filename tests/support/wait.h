/*
 * Waiting for a condition with a deadline, in place of sleeping.
 */
#ifndef SNIPE_TEST_WAIT_H
#define SNIPE_TEST_WAIT_H

#include <chrono>
#include <functional>
#include <thread>

namespace snipe_test
{

/* Long enough for a busy machine: a test's verdict does not depend on speed. */
constexpr std::chrono::seconds kDeadline{60};

/* Polls until the condition holds. Returns false after the deadline. */
inline bool WaitFor(const std::function<bool()> &condition,
		    std::chrono::milliseconds deadline = kDeadline)
{
	auto end = std::chrono::steady_clock::now() + deadline;

	while (!condition()) {
		if (std::chrono::steady_clock::now() > end)
			return false;
		std::this_thread::sleep_for(std::chrono::milliseconds(10));
	}
	return true;
}

} // namespace snipe_test

#endif
