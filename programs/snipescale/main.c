#include <stdio.h>

int main(void)
{
	printf("snipescale %s\n", SNIPE_VERSION);
	return 0;
}
