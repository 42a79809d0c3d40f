#include "base/hash.h"

#include <glib.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#include "base/error.h"

uint64_t snipe_hash64(const void *data, size_t len)
{
	return XXH64(data, len, 0);
}

uint64_t snipe_hash64_str(const char *s)
{
	return XXH64(s, strlen(s), 0);
}

uint64_t snipe_hash64_seed(const void *data, size_t len, uint64_t seed)
{
	return XXH64(data, len, seed);
}

void snipe_sha256(const void *data, size_t len, uint8_t out[SNIPE_SHA256_SIZE])
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize n = SNIPE_SHA256_SIZE;

	g_checksum_update(sum, data, (gssize)len);
	g_checksum_get_digest(sum, out, &n);
	g_checksum_free(sum);
}

void snipe_mac(const char *secret, const void *data, size_t len, uint8_t out[SNIPE_MAC_SIZE])
{
	GHmac *mac = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)secret, strlen(secret));
	guint8 full[SNIPE_SHA256_SIZE];
	gsize n = sizeof(full);

	g_hmac_update(mac, data, (gssize)len);
	g_hmac_get_digest(mac, full, &n);
	g_hmac_unref(mac);
	memcpy(out, full, SNIPE_MAC_SIZE);
}

int snipe_equal_constant_time(const void *a, const void *b, size_t len)
{
	const uint8_t *x = a, *y = b;
	uint8_t diff = 0;

	for (size_t i = 0; i < len; i++)
		diff |= x[i] ^ y[i];
	return diff == 0;
}

int snipe_random_bytes(void *buf, size_t len)
{
	return getrandom(buf, len, 0) == (ssize_t)len ? 0 : SNIPE_ERR_IO;
}

void snipe_hex(const void *data, size_t len, char *out)
{
	static const char digits[] = "0123456789abcdef";
	const uint8_t *p = data;

	for (size_t i = 0; i < len; i++) {
		*out++ = digits[p[i] >> 4];
		*out++ = digits[p[i] & 15];
	}
	*out = '\0';
}

int snipe_unhex(const char *hex, void *out, size_t len)
{
	uint8_t *p = out;

	if (strlen(hex) != 2 * len)
		return SNIPE_ERR_SYNTAX;
	for (size_t i = 0; i < len; i++) {
		int hi = g_ascii_xdigit_value(hex[2 * i]);
		int lo = g_ascii_xdigit_value(hex[2 * i + 1]);

		if (hi < 0 || lo < 0)
			return SNIPE_ERR_SYNTAX;
		p[i] = (uint8_t)(hi << 4 | lo);
	}
	return 0;
}
