package assembler

// Each protocol adapter registers itself; a new one needs one import here.
import (
	_ "coltsfootplank/internal/plugins/httpengine"
	_ "coltsfootplank/internal/plugins/httplog"
	_ "coltsfootplank/internal/plugins/httpservice"
	_ "coltsfootplank/internal/plugins/httpvmlist"
	_ "coltsfootplank/internal/plugins/httpweights"
)
