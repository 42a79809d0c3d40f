// Takes the descriptors away from the test process for a while.
#ifndef SNIPE_TESTS_DESCRIPTORS_H
#define SNIPE_TESTS_DESCRIPTORS_H

#include <sys/resource.h>
#include <unistd.h>

class DescriptorLimit
{
      public:
	DescriptorLimit()
	{
		getrlimit(RLIMIT_NOFILE, &own_);
	}
	~DescriptorLimit()
	{
		Restore();
	}
	// Open ones stay; no more can be opened.
	void AllowNoMore()
	{
		struct rlimit none = own_;
		int lowest_free = dup(STDIN_FILENO);

		close(lowest_free);
		none.rlim_cur = (rlim_t)lowest_free;
		setrlimit(RLIMIT_NOFILE, &none);
	}
	void Restore()
	{
		setrlimit(RLIMIT_NOFILE, &own_);
	}

      private:
	struct rlimit own_;
};

#endif
