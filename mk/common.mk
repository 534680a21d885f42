# Included by every package's makefile, which sets what it needs of
#	LIB, SRCS	name and sources of its library
#	BINS		programs that are installed in bin/
#	PROGS, TESTS	programs that stay in build/
#	USES		libraries of other packages to link, in link order
TOP := $(dir $(lastword $(MAKEFILE_LIST)))..
OUT ?= $(TOP)/build
BIN ?= $(TOP)/bin
PKGS ?= glib-2.0 jansson talloc libsodium libxxhash libtirpc libulfius \
	libmicrohttpd libcurl inih argtable2
# Ask pkg-config for all packages at once: it is slow with a cold file cache.
PC_CFLAGS := $(shell pkg-config --cflags $(PKGS))
PC_LIBS := $(shell pkg-config --libs $(PKGS))
CC := cc
OPT ?= -O2 -g
CFLAGS := -std=gnu11 $(OPT) -Wall -Wextra -Werror -Wshadow \
	-Wstrict-prototypes -Wmissing-prototypes -D_GNU_SOURCE \
	-I$(TOP) $(patsubst -I%,-isystem %,$(PC_CFLAGS)) -pthread $(SAN)
# Libraries that a program doesn't use would be loaded and take memory.
LDFLAGS := -pthread -Wl,--as-needed $(SAN)
LDLIBS := $(PC_LIBS) -lm
# Output of rpcgen is committed unedited and compiles with these warnings.
GEN_CFLAGS := -Wno-unused-variable -Wno-unused-parameter -Wno-cast-function-type \
	-Wno-missing-prototypes

PKG := $(notdir $(CURDIR))
OBJ := $(OUT)/$(PKG)
LIBFILE := $(if $(LIB),$(OUT)/lib$(LIB).a)
USELIBS := $(LIBFILE) $(patsubst %,$(OUT)/lib%.a,$(USES))

all: $(LIBFILE) $(addprefix $(BIN)/,$(BINS)) $(addprefix $(OBJ)/,$(PROGS)) \
	$(addprefix $(OBJ)/,$(TESTS))

$(OBJ)/%.o: %.c
	@mkdir -p $(OBJ)
	@$(CC) $(CFLAGS) $(if $(findstring -gen,$<),$(GEN_CFLAGS)) -MMD -MP -c -o $@ $<

$(LIBFILE): $(SRCS:%.c=$(OBJ)/%.o)
	@rm -f $@
	@ar rcs $@ $^

$(addprefix $(OBJ)/,$(PROGS) $(TESTS)): $(OBJ)/%: $(OBJ)/%.o $(USELIBS)
	@$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(USELIBS) $(LDLIBS)

$(addprefix $(BIN)/,$(BINS)): $(BIN)/%: $(OBJ)/%.o $(USELIBS)
	@mkdir -p $(BIN)
	@$(CC) $(LDFLAGS) -o $@ $(filter %.o,$^) $(USELIBS) $(LDLIBS)

-include $(wildcard $(OBJ)/*.d)
.PHONY: all
.SECONDARY:
