package upstream

import _ "github.com/fescuecourse/fescuecourse/internal/fixedseed" // fixed seed for property tests
