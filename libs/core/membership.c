#include "core/membership.h"

int snipe_member_is_live(const struct snipe_member *m)
{
	return m->state != SNIPE_MEMBER_LEFT && m->state != SNIPE_MEMBER_DEAD;
}
