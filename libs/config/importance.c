#include "config/tables.h"

static const char *const importance_names[SNIPE_IMPORTANCE_COUNT] = {
	"low",
	"normal",
	"high",
	"critical",
};

const char *snipe_importance_name(enum snipe_importance importance)
{
	return importance < SNIPE_IMPORTANCE_COUNT ? importance_names[importance] : "none";
}
