#include <stdio.h>

int main(void)
{
	printf("snipescaled %s\n", SNIPE_VERSION);
	return 0;
}
