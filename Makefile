MODULES := pollen pollenbench pollenctl pollenentry pollenload pollenstandin
PACKAGES := $(addprefix ./,$(addsuffix /...,$(MODULES)))
FIRM ?= vunivalu
SECONDS ?= 60

.PHONY: build test check demo proof generate

build:
	@mkdir -p bin
	go build -o bin/ $(PACKAGES)

test: build
	POLLEN_PROGRAMS=$(CURDIR)/bin go test $(PACKAGES)

check:
	@unformatted=$$(gofmt -l $(MODULES)); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

demo: build
	bin/pollenbench demo -programs bin -firm $(FIRM)

generate:
	cd pollen && go run github.com/bufbuild/buf/cmd/buf@v1.75.0 generate
