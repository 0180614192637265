package assembler

import (
	// Each protocol adapter registers itself in the kernel; a new one needs one import here.
	_ "coltsfootplank/internal/plugins/httpengine"
	_ "coltsfootplank/internal/plugins/httplog"
	_ "coltsfootplank/internal/plugins/httpservice"
	_ "coltsfootplank/internal/plugins/httpvmlist"
	_ "coltsfootplank/internal/plugins/httpweights"
	_ "coltsfootplank/platform"
)
