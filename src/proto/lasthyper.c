/* Decoder of the type apr_last_hyper of apricot.x, which rpcgen cannot express. */
#include "apricot.h"

bool_t xdr_apr_last_hyper(XDR *xdrs, apr_last_hyper *value)
{
	/* x_handy is the number of bytes left in a stream over memory. */
	if (xdrs->x_op == XDR_DECODE && xdrs->x_handy == 0) {
		*value = 0;
		return TRUE;
	}
	return xdr_u_quad_t(xdrs, value);
}
